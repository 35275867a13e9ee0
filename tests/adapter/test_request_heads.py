"""Heads of callers' requests that can be read in more than one way."""

import asyncio

import pytest
from shallotstand.dispatch.config import RouteKind

from .frontend_harness import make_route, run_scenario

SECOND_REQUEST = (
    b"POST /safe/second HTTP/1.1\r\nHost: host.example\r\n"
    b"Authorization: Token key\r\nContent-Length: 0\r\n\r\n"
)


async def send_head(harness, *lines, target=b"/safe/a", body=b""):
    """Sends a request and returns all that comes back on its connection."""
    reader, writer = await asyncio.open_connection(*harness.address)
    head = b"\r\n".join(
        (
            b"POST %b HTTP/1.1" % target,
            b"Host: host.example",
            b"Authorization: Token key",
            b"X-Shallotstand-Attempt-Id: r1",
            *lines,
            b"",
            b"",
        )
    )
    writer.write(head + body)
    try:
        async with asyncio.timeout(2):
            return await reader.read()
    finally:
        writer.close()


def assert_refused(lines, **fields):
    async def scenario(harness):
        answer = await send_head(harness, *lines, **fields)
        assert answer.startswith(b"HTTP/1.1 400"), answer[:80]
        assert answer.count(b"HTTP/1.1 ") == 1
        assert not harness.engines.sent

    run_scenario(scenario)


@pytest.mark.parametrize(
    "line",
    [
        b"X-Shallotstand-Tenant : other",
        b"X-Shallotstand-Tenant\t: other",
        b" X-Shallotstand-Tenant: other",
        b"X-Own: 1\nX-Shallotstand-Tenant: other",
        b"X-Own: 1\rX-Shallotstand-Tenant: other",
        b"X-Own: a\x00b",
        b"X-Own: \xff",
        b"X(Own): 1",
        b": 1",
        b"no field",
        b"Host: other.example",
        b"X-Shallotstand-Deadline-Ms: soon",
        b"X-Shallotstand-Deadline-Ms: \xc2\xb2",
        b"Last-Event-Id: 99999999999999999999",
        b"Last-Event-Id: -1",
    ],
)
def test_malformed_header_is_refused(line):
    # Guards against headers that only an engine reads as those of the
    # platform, and against requests that count as failures of engines.
    assert_refused((b"Content-Length: 0", line))


@pytest.mark.parametrize(
    "lines",
    [
        (b"Transfer-Encoding : chunked",),
        (b"Content-Length : %d" % len(SECOND_REQUEST),),
        (b"Content-Length: 0", b"Transfer-Encoding: chunked"),
        (b"Content-Length: 0", b"Content-Length: 5"),
        (b"Content-Length: +0",),
        (b"Transfer-Encoding: gzip",),
        (b"Transfer-Encoding: chunked, chunked",),
    ],
)
def test_request_behind_an_unclear_length_is_not_run(lines):
    # Guards against a request that is smuggled in the body of another.
    assert_refused(lines, body=SECOND_REQUEST)


@pytest.mark.parametrize(
    "target",
    [b"/safe/a#b", b"/safe/a\x00", b"/safe/a\x7f", b"/safe/\xc3\xa4"],
)
def test_malformed_target_is_refused(target):
    # Guards against a path that engines receive without a part of it.
    assert_refused((b"Content-Length: 0",), target=target)


@pytest.mark.parametrize(
    "target",
    [
        b"/shallotstand/order",
        b"/x/../shallotstand/order",
        b"/%73hallotstand/order",
        b"//shallotstand/order",
    ],
)
def test_caller_reaches_no_call_of_the_platform(target):
    # Guards against callers that give engines orders, where a route has all
    # paths of its host.
    async def scenario(harness):
        harness.configure([make_root_route()])
        answer = await send_head(
            harness,
            b"Connection: close",
            b"Content-Length: 0",
            target=target,
        )
        assert answer.startswith(b"HTTP/1.1 404"), answer[:80]
        assert not harness.engines.sent

    run_scenario(scenario)


def make_root_route():
    return make_route("safe", RouteKind.IDEMPOTENT, path_prefix="/")

"""Headers that reach engines through real gateways."""

import asyncio
import collections

import orjson
import pytest
from shallotstand.standins.fleet import (
    HOST,
    Fleet,
    batch_submission,
    results_path,
)

ITEMS = 4
FORGED = {
    "X-Shallotstand-Tenant": "other",
    "x-shallotstand-tenant": "another",
    "X-SHALLOTSTAND-ATTEMPT-ID": "forged",
    "X-Shallotstand-Expect-Instance": "forged",
    "X-Shallotstand-Deadline-Ms": "999999",
    "X-Shallotstand-Urgency-Class": "0",
    "Last-Event-Id": "7",
    "Kv-From": "127.0.0.1:1/1",
    "Authorization": "Token key-1",
    "Host": "other.example",
    "Content-Length": "0",
    "Transfer-Encoding": "chunked",
    "Connection": "close, X-Nominated",
    "X-Nominated": "1",
    "Expect": "100-continue",
}


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def assert_own_headers(lines, request_id, engine_name):
    """Checks that a request arrived with each reserved header once."""
    values_by_name = collections.defaultdict(list)
    for name, value in lines:
        values_by_name[name].append(value)
    assert values_by_name["x-shallotstand-tenant"] == ["account"]
    assert values_by_name["x-shallotstand-attempt-id"] == [request_id]
    assert values_by_name["x-shallotstand-expect-instance"] == [engine_name]
    assert values_by_name["host"] == [HOST]
    (deadline_ms,) = values_by_name["x-shallotstand-deadline-ms"]
    assert int(deadline_ms) <= 20_000
    (length,) = values_by_name["content-length"]
    assert int(length) > 0
    absent = {
        "authorization",
        "expect",
        "kv-from",
        "last-event-id",
        "transfer-encoding",
        "x-nominated",
        "x-shallotstand-urgency-class",
    }
    assert not absent & set(values_by_name)


def test_items_carry_no_reserved_header(directory):
    # Guards against items that run under the name of another account, or that
    # shallotstand itself seems to have sent otherwise than it did.
    async def scenario(fleet):
        fields = batch_submission(ITEMS)
        for item in fields["items"]:
            item["headers"] = {**item["headers"], **FORGED, "X-Own": "1"}
        status, _ = await fleet.call(
            fleet.gateways[0], "POST", "/rollouts/1", "b", orjson.dumps(fields)
        )
        assert status == 202
        results = []
        async with asyncio.timeout(20):
            while len(results) < ITEMS:
                status, body = await fleet.call(
                    fleet.gateways[1], "GET", results_path("b", 0)
                )
                results = orjson.loads(body).get("results", [])
        assert {result["state"] for result in results} == {"completed"}
        for engine in fleet.engines:
            for request_id, lines in engine.header_lines_by_request.items():
                assert_own_headers(lines, request_id, engine.name)
                assert ("x-own", "1") in lines

    run_scenario(directory, scenario)


@pytest.mark.parametrize("path", ["/plain/1", "/once/1"])
def test_requests_carry_no_reserved_header(directory, path):
    async def scenario(fleet):
        gateway = fleet.gateways[0]
        reader, writer = await asyncio.open_connection(
            gateway.front_address.host, gateway.front_address.port
        )
        repeated = {
            name: value
            for name, value in FORGED.items()
            if name.lower()
            in (
                "x-shallotstand-tenant",
                "x-shallotstand-expect-instance",
                "x-shallotstand-urgency-class",
                "kv-from",
                "connection",
                "x-nominated",
            )
        }
        lines = (
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            "Authorization: Token key-1",
            "X-Shallotstand-Attempt-Id: r1",
            "Content-Length: 4",
            *(f"{name}: {value}" for name, value in repeated.items()),
            *(f"{name.upper()}: {value}" for name, value in repeated.items()),
            "",
            "body",
        )
        writer.write("\r\n".join(lines).encode())
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()
        engine = fleet.plain_engine
        lines = engine.header_lines_by_request["r1"]
        assert_own_headers(lines, "r1", engine.name)

    run_scenario(directory, scenario)


def run_scenario(directory, scenario):
    async def run_with_fleet():
        async with Fleet(directory) as fleet:
            await asyncio.wait_for(scenario(fleet), 40)

    asyncio.run(run_with_fleet())

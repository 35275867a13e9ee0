"""What engines say of themselves, in reports and in all responses."""

import asyncio

import pytest
from shallotstand.adapter.engines import MAX_LIMIT_PER_S
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.request_shares import PeerShares
from shallotstand.dispatch.stated_limits import StatedLimit
from shallotstand.peers.endpoint_uses import make_use
from shallotstand.standins.memory_engines import make_endpoint
from shallotstand.standins.scripted_http import (
    Reply,
    ScriptedServer,
    encode_response,
)

from .conftest import make_client

OWN = {"X_Shallotstand_Attempt_Id": "r1", "X_Shallotstand_Server_Seal": "seal"}
BAD_ANSWER = ResultCode.ENDPOINT_BAD_ANSWER

REQUEST = EndpointRequest(
    "POST", "/a", "host.example", (), b"", "r1", "account", True
)


class LeavingObserver(EndpointRegistry):
    """Keeps what responses say of leaving."""

    def __init__(self):
        super().__init__("zone-a", SystemClock())
        self.sources = []

    def record_leaving(self, endpoint, source):
        self.sources.append((endpoint.id, source))


def sources_of_leaving(response, call="request", **reply_fields):
    """Returns who said that it leaves, and in which kind of response."""

    async def scenario():
        server = ScriptedServer(lambda _: Reply((response,), **reply_fields))
        engine = make_endpoint("e1", address=await server.start())
        observer = LeavingObserver()
        client = make_client(observer)
        if call == "report":
            await client.fetch_report(engine)
        elif call == "stream":
            stream = await client.open_stream(engine, REQUEST, 0.5)
            if not isinstance(stream, Failure):
                stream.close()
        else:
            await client.send_request(engine, REQUEST, 0.5)
        await client.close()
        await server.stop()
        return observer.sources

    return asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("call", ["request", "stream"])
@pytest.mark.parametrize(
    "response",
    [
        encode_response("200 OK", b"x", Server_Leaving="1"),
        encode_response("503 Full", b"", Server_Leaving="1"),
        encode_response(
            "503 Full", X_Shallotstand_Not_Executed="1", Server_Leaving="1"
        ),
        encode_response(
            "429 Busy", X_Shallotstand_Not_Executed="1", Server_Leaving="1"
        ),
        encode_response("500 Error", b"x", Server_Leaving="1"),
        encode_response("504 Late", Server_Leaving="1"),
        encode_response(
            "421 Version", X_Shallotstand_Instance_Id="e1", Server_Leaving="1"
        ),
        # The response belongs to another request.
        encode_response(
            "200 OK", b"x", X_Shallotstand_Attempt_Id="r0", Server_Leaving="1"
        ),
        encode_response("200 OK", b"cut", Server_Leaving="1")[:-1],
    ],
)
def test_every_kind_of_response_tells_that_its_endpoint_leaves(response, call):
    # Guards against a statement that is overlooked since its response is a
    # refusal, an error or of no use.
    (source,) = sources_of_leaving(response, call, close=True)
    assert source == ("e1", f"status {response[9:12].decode()}")


def test_report_tells_that_its_endpoint_leaves():
    response = encode_response("200 OK", b'{"born":1}', Server_Leaving="1")
    assert sources_of_leaving(response, "report") == [("e1", "report")]


@pytest.mark.parametrize("named", [{}, {"X_Shallotstand_Instance_Id": "e2"}])
def test_another_endpoint_at_the_address_tells_nothing(named):
    # Guards against an endpoint that is avoided since another one has taken
    # the address that it had.
    response = encode_response("421 Other", Server_Leaving="1", **named)
    assert sources_of_leaving(response) == []


@pytest.mark.parametrize(
    ("values", "is_leaving"),
    [
        (("1",), True),
        (("  1",), True),
        (("0", "1"), True),
        (("1", "0"), True),
        (("x", "1"), True),
        (("0",), False),
        (("",), False),
        (("1.0",), False),
        (("-1",), False),
        (("true",), False),
        (("1, 1",), False),
        (("\xb9",), False),
        (("1" * 4000,), False),
    ],
)
def test_one_readable_statement_is_enough(values, is_leaving):
    # Guards against a value that ends the request, or that is guessed.
    lines = "".join(f"Server-Leaving: {value}\r\n" for value in values)
    response = f"HTTP/1.1 200 OK\r\n{lines}Content-Length: 0\r\n\r\n"
    sources = sources_of_leaving(response.encode("latin-1"))
    assert sources == ([("e1", "status 200")] if is_leaving else [])


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (encode_response("200 OK", b'{"born":1700000000000}'), 1700000000000),
        (encode_response("200 OK", b'{"state":"ready"}'), BAD_ANSWER),
        (encode_response("200 OK", b'{"born":"soon"}'), BAD_ANSWER),
        (encode_response("200 OK", b'{"born":true}'), BAD_ANSWER),
        (encode_response("200 OK", b"[]"), BAD_ANSWER),
        (encode_response("200 OK", b"no JSON"), BAD_ANSWER),
        (encode_response("421 Other"), ResultCode.ENDPOINT_REFUSED),
        (b"", BAD_ANSWER),
    ],
)
def test_report_tells_the_start_of_an_endpoint(response, expected):
    # Guards against a report of another endpoint, or an odd one, that is taken
    # for a start.
    async def scenario():
        server = ScriptedServer(
            lambda _: Reply((response,), close=not response)
        )
        engine = make_endpoint("e1", address=await server.start())
        client = make_client()
        report = await client.fetch_report(engine)
        if isinstance(report, Failure):
            assert report.code == expected
        else:
            assert report.started_ms == expected
        headers = server.received[0].headers
        assert headers["x-shallotstand-expect-instance"] == "e1"
        await client.close()
        await server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def read_limits(*heads):
    """Returns what is recorded of responses with these heads, and counts."""
    recorded, counted = [], []

    class Recorder:
        def record_response(self, endpoint_id, requests_per_s, sent_at):
            assert sent_at <= SystemClock().monotonic()
            recorded.append((endpoint_id, requests_per_s))

    replies = iter(heads)

    async def run_with_server():
        server = ScriptedServer(lambda _: Reply((next(replies),)))
        engine = make_endpoint("e1", address=await server.start())
        client = make_client(Recorder(), lambda *call: counted.append(call))
        for _ in heads:
            await client.send_request(engine, REQUEST, 0.5)
        await client.close()
        await server.stop()

    asyncio.run(asyncio.wait_for(run_with_server(), 10))
    return recorded, counted


def test_limits_are_read_from_responses_and_refusals():
    # Guards against a limit that goes unread where an engine in need refuses.
    recorded, counted = read_limits(
        encode_response("200 OK", Server_Limit="2.5", **OWN),
        encode_response(
            "503 Full", X_Shallotstand_Not_Executed="1", Server_Limit="0"
        ),
        encode_response("200 OK", **OWN),
    )
    assert recorded == [("e1", 2.5), ("e1", 0.0), ("e1", None)]
    assert counted == [
        ("e1", "answered"),
        ("e1", "refused"),
        ("e1", "answered"),
    ]


def test_limit_that_is_malformed_or_of_another_engine_is_passed_over():
    # Guards against a limit that ends, or is without bound, by a bad value.
    heads = [
        encode_response("200 OK", Server_Limit=text, **OWN)
        for text in ("", "-1", "nan", "inf", "1e3", "1_0", "2,5", "soon")
    ]
    heads.append(encode_response("421 Other", Server_Limit="3"))
    other = {**OWN, "X_Shallotstand_Attempt_Id": "r0"}
    heads.append(encode_response("200 OK", Server_Limit="3", **other))
    heads.append(encode_response("200 OK", **other))
    assert read_limits(*heads)[0] == []


def test_limit_without_measure_ends_no_process():
    # Guards against a stated limit whose arithmetic overflows in every gateway
    # that hears of it.
    heads = [
        encode_response("200 OK", Server_Limit=text, **OWN)
        for text in ("9" * 306, "9" * 400)
    ]
    recorded, _ = read_limits(*heads)
    assert [limit for _, limit in recorded] == [MAX_LIMIT_PER_S] * 2
    stated = StatedLimit(MAX_LIMIT_PER_S, 0.0)
    use = make_use("e1", EndpointState(0, None, PeerShares(stated)), 1.0)
    assert use.limit_per_1000_s == int(MAX_LIMIT_PER_S * 1000)

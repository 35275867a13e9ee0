"""All that reads HTTP answers, each with an answer that it accepts."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

from shallotstand.adapter.boot import TcpAddress
from shallotstand.adapter.engine_control import HttpEngineControl
from shallotstand.adapter.engines import HttpEndpointClient
from shallotstand.adapter.store import PlatformStore
from shallotstand.adapter.usage_sink import PlatformUsageSink
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.duties.weight_updates import OrderOutcome, VersionOrder
from shallotstand.outbound.receive_budget import ReceiveBudget
from shallotstand.standins.memory_engines import make_endpoint

BUDGET_S = 1.0
UPLOAD = b"x" * 6_000_000
OWN = (
    ("X-Shallotstand-Attempt-Id", "r1"),
    ("X-Shallotstand-Server-Seal", "seal"),
)
EVENT = b"id: 1\ndata: a\n\n"
DOCUMENT = b'{"metadata":{"name":"name","revision":3},"spec":{},"status":null}'
# The codes of a call whose outcome is not known.
UNKNOWN_CODES = (
    ResultCode.ANSWER_CUT,
    ResultCode.ENDPOINT_BAD_ANSWER,
)


class Reader(NamedTuple):
    """A way to call a server.

    Attributes:
      call: Calls the server at an address and returns the outcome.
      broken: Outcomes, or codes of failures, that an answer which is not
        whole may have.
      status: Status of an answer that the reader accepts.
      body: Content of that answer; empty if it has none.
      headers: Headers of that answer.
    """

    call: Callable[[str], Awaitable[Any]]
    broken: tuple[Any, ...]
    status: str = "200 OK"
    body: bytes = b"whole"
    headers: tuple[tuple[str, str], ...] = ()

    def head(self, *more_lines: bytes, status: str = "") -> bytes:
        """Returns the head of the answer, without a length."""
        lines = (
            f"HTTP/1.1 {status or self.status}".encode(),
            *(f"{name}: {value}".encode() for name, value in self.headers),
            *more_lines,
        )
        return b"\r\n".join((*lines, b"", b""))

    def whole(self, *more_lines: bytes, status: str = "") -> bytes:
        """Returns the answer with its length."""
        length = f"Content-Length: {len(self.body)}".encode()
        return self.head(length, *more_lines, status=status) + self.body

    def is_broken(self, outcome: Any) -> bool:
        """Returns whether an outcome is that of a broken answer."""
        code = outcome.code if isinstance(outcome, Failure) else outcome
        return code in self.broken

    def is_accepted(self, outcome: Any) -> bool:
        """Returns whether an outcome is that of the answer as a whole."""
        return not isinstance(outcome, Failure) and not self.is_broken(outcome)


def _tcp_address(address: str) -> TcpAddress:
    host, _, port = address.rpartition(":")
    return TcpAddress(host, int(port))


@contextlib.asynccontextmanager
async def _closing(client: Any) -> AsyncIterator[Any]:
    try:
        yield client
    finally:
        await client.close()


def _endpoint_client() -> HttpEndpointClient:
    clock = SystemClock()
    return HttpEndpointClient(
        EndpointRegistry("zone-a", clock),
        clock,
        lambda *_: None,
        ReceiveBudget.from_memory_limit(0),
    )


def send_request(method="POST", body=UPLOAD, is_repeatable=True):
    async def call(address: str) -> Any:
        request = EndpointRequest(
            method, "/a", "host", (), body, "r1", None, is_repeatable
        )
        async with _closing(_endpoint_client()) as client:
            return await client.send_request(
                make_endpoint("e1", address=address), request, BUDGET_S
            )

    return call


def _stream(body, reads_events=True):
    async def call(address: str) -> Any:
        request = EndpointRequest(
            "POST", "/a", "host", (), body, "r1", None, False
        )
        async with _closing(_endpoint_client()) as client:
            stream = await client.open_stream(
                make_endpoint("e1", address=address), request, BUDGET_S
            )
            if isinstance(stream, Failure):
                return stream
            if not reads_events:
                outcome = await stream.read_body()
            else:
                *_, outcome = [event async for event in stream.events()]
            stream.close()
            return outcome

    return call


async def _endpoint_report(address: str) -> Any:
    async with _closing(_endpoint_client()) as client:
        return await client.fetch_report(make_endpoint("e1", address=address))


def _control(operation):
    async def call(address: str) -> Any:
        control = HttpEngineControl("node", ReceiveBudget.from_memory_limit(0))
        async with _closing(control):
            return await operation(
                control, make_endpoint("e1", address=address)
            )

    return call


async def _usage(address: str) -> Any:
    counts = {f"account-{number}": number for number in range(200_000)}
    async with _closing(PlatformUsageSink(_tcp_address(address), "n")) as sink:
        return await sink.send_report(1, counts, 1, BUDGET_S)


def _store(operation):
    async def call(address: str) -> Any:
        async with _closing(PlatformStore(_tcp_address(address))) as store:
            return await operation(store)

    return call


_ORDER = VersionOrder("model", 3, 9, 2, BUDGET_S)
_LARGE = {"text": "x" * 6_000_000}
_UNKNOWN_WRITE = (ResultCode.OUTCOME_UNKNOWN,)
_UNAVAILABLE = (ResultCode.STORE_UNAVAILABLE,)
_REPORT = (ResultCode.ENDPOINT_BAD_ANSWER,)

READERS: dict[str, Reader] = {
    "read": Reader(send_request("GET", b""), UNKNOWN_CODES, headers=OWN),
    "upload": Reader(send_request(), UNKNOWN_CODES, headers=OWN),
    "upload once": Reader(
        send_request(is_repeatable=False), UNKNOWN_CODES, headers=OWN
    ),
    "stream": Reader(_stream(b"b"), UNKNOWN_CODES, body=EVENT, headers=OWN),
    "stream of an upload": Reader(
        _stream(UPLOAD), UNKNOWN_CODES, body=EVENT, headers=OWN
    ),
    "error for a stream": Reader(
        _stream(UPLOAD, False), UNKNOWN_CODES, "500 Error", headers=OWN
    ),
    "report of an endpoint": Reader(
        _endpoint_report, _REPORT, body=b'{"born":1,"state":"ready"}'
    ),
    "report of an engine": Reader(
        _control(lambda control, endpoint: control.fetch_report(endpoint)),
        _REPORT,
        body=b'{"models":[],"busy":false,"seq":1}',
    ),
    "order": Reader(
        _control(
            lambda control, endpoint: control.send_order(endpoint, _ORDER)
        ),
        (OrderOutcome.UNKNOWN,),
        "202 Accepted",
        b"{}",
    ),
    "usage": Reader(_usage, _UNKNOWN_WRITE, body=b"{}"),
    "store get": Reader(
        _store(lambda store: store.get("kind", "name")),
        _UNAVAILABLE,
        body=DOCUMENT,
    ),
    "store list": Reader(
        _store(lambda store: store.list("kind")),
        _UNAVAILABLE,
        body=b'{"items":[' + DOCUMENT + b'],"as_of":3}',
    ),
    "store watch": Reader(
        _store(lambda store: store.watch("kind", 1, 0.1)),
        _UNAVAILABLE,
        body=b'{"events":[],"as_of":3}',
    ),
    "store create": Reader(
        _store(lambda store: store.create("kind", "name", _LARGE)),
        _UNKNOWN_WRITE,
        body=DOCUMENT,
    ),
    "store replace": Reader(
        _store(lambda store: store.replace("kind", "name", _LARGE, 2)),
        _UNKNOWN_WRITE,
        body=DOCUMENT,
    ),
    "store status": Reader(
        _store(lambda store: store.set_status("kind", "name", _LARGE, 2)),
        _UNKNOWN_WRITE,
        body=DOCUMENT,
    ),
    "store delete": Reader(
        _store(lambda store: store.delete("kind", "name")),
        _UNKNOWN_WRITE,
        body=b"{}",
    ),
}

"""All that reads HTTP answers, each with an answer that it accepts."""

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

from shallotstand.adapter.boot import TcpAddress
from shallotstand.adapter.engine_control import HttpEngineControl
from shallotstand.adapter.engines import HttpEndpointClient
from shallotstand.adapter.store import PlatformStore
from shallotstand.adapter.usage_sink import PlatformUsageSink
from shallotstand.cli import client as admin_client
from shallotstand.cli import placement
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.duties.weight_updates import OrderOutcome, VersionOrder
from shallotstand.engine.http import HttpEngine
from shallotstand.engine.protocols import EngineOrder, EngineRequest
from shallotstand.load.plan import PlannedRequest
from shallotstand.load.runner import LoadRun
from shallotstand.load.settings import LoadAccount, LoadSettings
from shallotstand.outbound.receive_budget import ReceiveBudget
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.settings.options import SocketAddress
from shallotstand.standins.memory_engines import make_endpoint

BUDGET_S = 1.0
UPLOAD = b"x" * 6_000_000
OWN = (
    ("X-Shallotstand-Attempt-Id", "r1"),
    ("X-Shallotstand-Server-Seal", "seal"),
)
EVENT = b"id: 1\ndata: a\n\n"
DOCUMENT = b'{"metadata":{"name":"name","revision":3},"spec":{},"status":null}'
LOAD_ETAG = (("ETag", '"3"'),)
_REPORT = (
    b'{"incarnation":"i1","running":0,"queued":0,"slots":1,"free_blocks":1,'
    b'"version":"v1","added":[],"evicted":[]}'
)
LOAD_REPORT = (
    b'{"incarnation":"i1","running":0,"queued":0,"slots":1,"free_blocks":1,'
    b'"version":"v1","added":[],"evicted":[]}'
)
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


async def _engine_request(address: str) -> Any:
    async with _closing(HttpEngine(f"http://{address}")) as engine:
        request = EngineRequest("/a", UPLOAD, "r1", 0, BUDGET_S)
        async with engine.open(request) as answer:
            if isinstance(answer, Failure):
                return answer
            *_, last = [part async for part in answer.chunks()]
            return last


def _engine(operation):
    async def call(address: str) -> Any:
        async with _closing(HttpEngine(f"http://{address}")) as engine:
            return await operation(engine)

    return call


def _objects(operation):
    async def call(address: str) -> Any:
        async with _closing(HttpObjectStore(f"http://{address}")) as store:
            return await operation(store)

    return call


async def _admin(address: str) -> Any:
    with tempfile.NamedTemporaryFile("w", suffix=".key") as key_file:
        key_file.write("key")
        key_file.flush()
        server = admin_client.Server(f"http://{address}", key_file.name)
        return await asyncio.to_thread(
            admin_client.call, server, "PUT", "keys", _LARGE
        )


async def _placement(address: str) -> Any:
    return await asyncio.to_thread(placement.ask_gateway, address, {})


async def _load(address: str) -> Any:
    host, _, port = address.rpartition(":")
    settings = LoadSettings(
        **{
            **dict.fromkeys(LoadSettings._fields, 1),
            "timeout_s": BUDGET_S,
            "accounts": (),
        }
    )
    run = LoadRun(settings, SystemClock())
    account = LoadAccount("account", "key", 1.0)
    target = SocketAddress(host, int(port))
    await run.run([PlannedRequest(0.0, account, target, UPLOAD, False, "p")])
    values = {
        (line.figure, line.label): line.value for line in run.figures.lines()
    }
    return "served" if values["served", ""] else "not served"


_ORDER = VersionOrder("model", 3, 9, 2, BUDGET_S)
_LARGE = {"text": "x" * 6_000_000}
_ETAG = (("ETag", '"3"'),)
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
    "engine request": Reader(_engine_request, UNKNOWN_CODES),
    "engine load": Reader(
        _engine(lambda engine: engine.load()),
        (ResultCode.ENDPOINT_REFUSED,),
        body=LOAD_REPORT,
    ),
    "engine order": Reader(
        _engine(
            lambda engine: engine.order(
                EngineOrder("load", "v" * 6_000_000, 1, BUDGET_S)
            )
        ),
        (ResultCode.ORDER_FAILED,),
        body=b"{}",
    ),
    "object get": Reader(
        _objects(lambda store: store.get("k")), _UNAVAILABLE, headers=_ETAG
    ),
    "object list": Reader(
        _objects(lambda store: store.list("k")), _UNAVAILABLE, body=b"[]"
    ),
    "object put": Reader(
        _objects(lambda store: store.put("k", b"x" * 1_000_000, 1)),
        _UNAVAILABLE,
        headers=_ETAG,
    ),
    "placement": Reader(
        _placement, (ResultCode.ADMIN_UNREACHABLE,), body=b"{}"
    ),
    "administration": Reader(
        _admin, (ResultCode.ADMIN_UNREACHABLE,), body=b"{}"
    ),
    "load": Reader(
        _load, ("not served",), body=b'{"choices":[{"finish_reason":"stop"}]}'
    ),
}

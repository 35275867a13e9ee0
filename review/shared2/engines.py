"""Stand-ins of engines: model servers with streams, and plain services."""

import asyncio
import time
from collections.abc import Callable

import orjson
from aiohttp import web

ATTEMPT_ID = "X-Shallotstand-Attempt-Id"
SEAL = "X-Shallotstand-Server-Seal"
VERSIONS = "X-Shallotstand-Weight-Versions"
EXPECTED = "X-Shallotstand-Expect-Instance"
NOT_EXECUTED = "X-Shallotstand-Not-Executed"
# Content of the events of an answer without end.
ENDLESS_DATA = b"a" * 50_000


class Engine:
    """An engine of one service.

    Attributes:
      name: Its identifier.
      service: Its service.
      runs: Monotonic time, identifier and `Last-Event-Id` of each request that
        it began to run.
      finished: Identifiers of the requests that it has run to their end.
      orders: Monotonic time and content of each order that arrived.
      version: Version of its weights.
      spoil: Returns the bytes of an event instead of the given ones; takes the
        identifier of the request and the number of the event.
      answer: Body of the answers of a plain service; that of the request if
        empty.
      is_endless: Returns whether an answer goes on without end after its last
        event; takes the identifier of the request.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Callable[[str], None],
        model: str = "",
        slots: int = 8,
        events: int = 28,
        pause_s: float = 0.03,
        zone: str = "zone-a",
    ):
        self.name = name
        self.service = service
        self.model = model
        self.slots = slots
        self.events = events
        self.pause_s = pause_s
        self.zone = zone
        self.version = 1
        self.accepted_orders = 0
        self.running = 0
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str, int]] = []
        self.finished: list[str] = []
        self.orders: list[tuple[float, dict]] = []
        self.spoil: Callable[[str, int, bytes], bytes] | None = None
        self.answer = b""
        self.is_endless: Callable[[str], bool] = lambda _: False
        self.address = ""
        self._record = record
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a free loopback port."""
        app = web.Application()
        app.router.add_get("/shallotstand/report", self._report)
        app.router.add_post("/shallotstand/order", self._order)
        app.router.add_route("*", "/{tail:.*}", self._run)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, state: str) -> dict:
        """Returns what it registers in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "born": self.born,
            "seq": 1,
            **(
                {"models": [{"name": self.model, "version": self.version}]}
                if self.model
                else {}
            ),
        }

    def event_bytes(self, attempt_id: str, number: int) -> bytes:
        """Returns an event of a text."""
        return f"id: {number}\ndata: {attempt_id} piece {number}\n\n".encode()

    def text(self, attempt_id: str) -> str:
        """Returns the whole text of an item."""
        return "\n".join(
            f"{attempt_id} piece {number}"
            for number in range(1, self.events + 1)
        )

    async def _run(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers.get(ATTEMPT_ID)
        if request.headers.get(EXPECTED, self.name) != self.name:
            return web.Response(
                status=421, headers={"X-Shallotstand-Instance-Id": self.name}
            )
        if attempt_id is None:
            return web.Response(status=400, headers={NOT_EXECUTED: "1"})
        body = await request.read()
        if self.running >= self.slots:
            return web.Response(
                status=503,
                headers={NOT_EXECUTED: "1", ATTEMPT_ID: attempt_id},
            )
        self.running += 1
        last = int(request.headers.get("Last-Event-Id", 0))
        self.runs.append((time.monotonic(), attempt_id, last))
        self._record(f"{self.name} runs {attempt_id} after event {last}")
        try:
            if self.model:
                return await self._stream(request, attempt_id, last)
            await asyncio.sleep(self.pause_s)
            self.finished.append(attempt_id)
            return web.Response(
                body=self.answer or body or b"ok",
                headers={ATTEMPT_ID: attempt_id, SEAL: f"seal.{attempt_id}"},
            )
        finally:
            self.running -= 1

    async def _stream(
        self, request: web.Request, attempt_id: str, last: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                ATTEMPT_ID: attempt_id,
                SEAL: f"seal.{attempt_id}",
                VERSIONS: str(self.version),
            }
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = self.event_bytes(attempt_id, number)
            if self.spoil is not None:
                event = self.spoil(attempt_id, number, event)
            await response.write(event)
        if self.is_endless(attempt_id):
            await self._write_without_end(response, attempt_id)
        await response.write_eof()
        self.finished.append(attempt_id)
        return response

    async def _write_without_end(
        self, response: web.StreamResponse, attempt_id: str
    ) -> None:
        """Writes bytes like those of events until the caller closes."""
        self._record(f"{self.name} answers {attempt_id} without end")
        written, number = 0, self.events
        try:
            while True:
                number += 1
                event = b"id: %d\ndata: %s\n\n" % (number, ENDLESS_DATA)
                await response.write(event)
                written += len(event)
        finally:
            self._record(
                f"{self.name}: the answer to {attempt_id} was closed after "
                f"{written} bytes without end"
            )

    async def _report(self, request: web.Request) -> web.Response:
        if request.headers.get(EXPECTED, self.name) != self.name:
            return web.Response(status=421)
        return web.Response(
            body=orjson.dumps(
                {
                    "stage": "both",
                    "models": [
                        {
                            "name": self.model,
                            "version": self.version,
                            "adapters": [],
                        }
                    ]
                    if self.model
                    else [],
                    "busy": False,
                    "seq": self.accepted_orders,
                    "born": self.born,
                    "state": "ready",
                    "num_waiting": 0,
                    "num_running": self.running,
                    "kv_used": 0,
                    "kv_total": 42925,
                    "handles": 0,
                }
            ),
            content_type="application/json",
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        self.orders.append((time.monotonic(), order))
        self._record(f"{self.name} gets order {order}")
        if order["precondition"] != self.accepted_orders:
            return web.Response(status=409)
        self.accepted_orders += 1
        self.version = order["version"]
        return web.Response(status=202)

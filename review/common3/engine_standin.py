"""A stand-in of an engine: plain answers, streams of events, reports."""

import asyncio
import time
from typing import Any

import orjson
from aiohttp import web

ATTEMPT_ID = "X-Shallotstand-Attempt-Id"
SEAL = "X-Shallotstand-Server-Seal"
EXPECTED = "X-Shallotstand-Expect-Instance"
VERSIONS = "X-Shallotstand-Weight-Versions"
TENANT = "X-Shallotstand-Tenant"
# Seconds until an order that got no answer is carried out (2 to 12).
LATE_ORDER_S = 11.0


class Engine:
    """An engine that records what it runs.

    Attributes:
      name: Its id.
      service: Its service.
      software: Version of its software; each event names it.
      born_ms: Start of its current boot, in Unix milliseconds.
      runs: What it began to run.
      pause_s: Seconds before each event and before a plain answer.
      event_count: Events of each text.
      orders: Orders that arrived.
      version: Version of its weights.
      leaves_orders_unanswered: Whether orders get no answer, and are carried
        out seconds later.
    """

    def __init__(
        self, name: str, service: str, software: str = "1.0", slots: int = 8
    ):
        self.name = name
        self.service = service
        self.software = software
        self.slots = slots
        self.born_ms = int(time.time() * 1000)
        self.runs: list[dict[str, Any]] = []
        self.pause_s = 0.05
        self.event_count = 28
        self.address = ""
        self.orders: list[dict[str, Any]] = []
        self.version = 1
        self.leaves_orders_unanswered = False
        self._accepted_orders = 0
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Begins to listen."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/shallotstand/report", self._report)
        app.router.add_post("/shallotstand/order", self._order)
        app.router.add_post("/rollouts/{tail:.*}", self._stream)
        app.router.add_post("/events/{tail:.*}", self._stream)
        app.router.add_route("*", "/{tail:.*}", self._plain)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await self._listen(0)
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def _listen(self, port: int) -> None:
        self._site = web.TCPSite(
            self._runner, "127.0.0.1", port, reuse_address=True
        )
        await self._site.start()

    async def stop(self) -> None:
        """Ends the engine."""
        await self._runner.cleanup()

    def reset_channels(self) -> None:
        """Resets all channels, also those with a request under way."""
        for protocol in self._runner.server.connections:
            if protocol.transport is not None:
                protocol.transport.abort()

    async def go_down(self) -> None:
        """Ends this boot: nothing listens, and all channels are reset."""
        await self._site.stop()
        self.reset_channels()

    async def come_back(self, software: str) -> None:
        """Starts a new boot under the same id, at the same address."""
        self.software = software
        self.born_ms = int(time.time() * 1000)
        await self._listen(int(self.address.rpartition(":")[2]))

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the engine's entry in the store."""
        is_model_engine = self.service == "drafters"
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "slots": self.slots,
            "state": state,
            "version": self.software,
            "born": self.born_ms,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [
                {"name": "model", "version": self.version, "adapters": []}
            ]
            if is_model_engine
            else [],
            "seq": 1,
        }

    def _refusal(self, request: web.Request) -> web.Response | None:
        if request.headers.get(EXPECTED, self.name) == self.name:
            return None
        return web.Response(
            status=421,
            headers={
                "X-Shallotstand-Not-Executed": "1",
                "X-Shallotstand-Instance-Id": self.name,
            },
        )

    def _record(self, request: web.Request, body: bytes) -> dict[str, Any]:
        run = {
            "at": time.monotonic(),
            "engine": self.name,
            "software": self.software,
            "id": request.headers.get(ATTEMPT_ID, ""),
            "method": request.method,
            "path": request.path_qs,
            "body": body.decode("latin-1"),
            "tenants": request.headers.getall(TENANT, []),
            "after": request.headers.get("Last-Event-Id"),
            "deadline_ms": request.headers.get("X-Shallotstand-Deadline-Ms"),
            "events": 0,
        }
        self.runs.append(run)
        return run

    async def _plain(self, request: web.Request) -> web.Response:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        body = await request.read()
        run = self._record(request, body)
        await asyncio.sleep(self.pause_s)
        return web.Response(
            body=b"answer to " + run["id"].encode(),
            headers={ATTEMPT_ID: run["id"], SEAL: f"seal-{run['id']}"},
        )

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        run = self._record(request, await request.read())
        software = self.software
        response = web.StreamResponse(
            headers={
                ATTEMPT_ID: run["id"],
                SEAL: f"seal-{run['id']}",
                VERSIONS: str(self.version),
            }
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(int(run["after"] or 0) + 1, self.event_count + 1):
            await asyncio.sleep(self.pause_s)
            data = f"{run['id']} {number} {software}"
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
            run["events"] += 1
        await response.write_eof()
        return response

    async def _report(self, request: web.Request) -> web.Response:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        body = {
            "born": self.born_ms,
            "state": "ready",
            "stage": "both",
            "models": [
                {"name": "model", "version": self.version, "adapters": []}
            ],
            "busy": False,
            "seq": self._accepted_orders,
            "num_waiting": 0,
            "num_running": 0,
            "kv_used": 0,
            "kv_total": 40000,
            "handles": 0,
        }
        return web.Response(body=orjson.dumps(body))

    async def _order(self, request: web.Request) -> web.Response:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        order = orjson.loads(await request.read())
        self.orders.append({"at": time.monotonic(), **order})
        if self.leaves_orders_unanswered:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_ORDER_S, self._carry_out, order)
            await asyncio.sleep(LATE_ORDER_S)
            request.transport.abort()
            return web.Response()
        return web.Response(status=202 if self._carry_out(order) else 409)

    def _carry_out(self, order: dict[str, Any]) -> bool:
        """Carries an order out unless newer ones came before it."""
        if order["precondition"] != self._accepted_orders:
            return False
        self._accepted_orders += 1
        self.version = order["version"]
        return True

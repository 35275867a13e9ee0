"""An engine of the fleet platform over HTTP: streams, answers and orders."""

import asyncio

import orjson
from aiohttp import web

_ID = "X-Shallotstand-Attempt-Id"
_SEAL = "X-Shallotstand-Server-Seal"
_VERSION = "X-Shallotstand-Weight-Versions"


class FleetEngine:
    """One engine that answers plain requests and streams items.

    Attributes:
      name: Its identifier.
      version: Weight version of its model.
      runs: Identifiers of the requests that it began, in order.
      orders: Orders that it accepted: holder, fence, version.
    """

    def __init__(self, name: str, events: int = 20, pause_s: float = 0.05):
        """Makes an engine.

        Args:
          name: Its identifier.
          events: Events of each text.
          pause_s: Seconds between them.
        """
        self.name = name
        self.version = 1
        self.runs: list[str] = []
        self.orders: list[tuple[str, int, int]] = []
        self._events = events
        self._pause_s = pause_s
        self._runner: web.AppRunner | None = None

    async def start(self) -> str:
        """Listens on loopback and returns the address."""
        app = web.Application()
        app.router.add_get("/shallotstand/report", self._report)
        app.router.add_post("/shallotstand/order", self._order)
        app.router.add_post("/rollouts/{tail:.*}", self._stream)
        app.router.add_route("*", "/{tail:.*}", self._plain)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    def text(self, item_id: str) -> str:
        """Returns the whole text of an item."""
        return "\n".join(
            f"{item_id} {number}" for number in range(1, self._events + 1)
        )

    async def _plain(self, request: web.Request) -> web.Response:
        request_id = request.headers[_ID]
        self.runs.append(request_id)
        await asyncio.sleep(self._pause_s)
        headers = {_ID: request_id, _SEAL: f"seal-{request_id}"}
        return web.Response(body=await request.read(), headers=headers)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers[_ID]
        self.runs.append(request_id)
        response = web.StreamResponse(
            headers={_ID: request_id, _VERSION: str(self.version)}
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        named = self.version
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._pause_s)
            changed = f"{_VERSION.lower()}: {self.version}\n"
            event = f"id: {number}\ndata: {request_id} {number}\n\n"
            if named != self.version:
                named, event = self.version, changed + event
            await response.write(event.encode())
        await response.write_eof()
        return response

    async def _report(self, _: web.Request) -> web.Response:
        body = {
            "stage": "both",
            "models": [{"name": "model", "version": self.version}],
            "busy": False,
            "seq": len(self.orders),
        }
        return web.Response(body=orjson.dumps(body))

    async def _order(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        if body["precondition"] != len(self.orders):
            return web.Response(status=409)
        if any(body["fence"] < fence for _, fence, _ in self.orders):
            return web.Response(status=412)
        self.orders.append((body["holder"], body["fence"], body["version"]))
        self.version = body["version"]
        return web.Response(status=202)

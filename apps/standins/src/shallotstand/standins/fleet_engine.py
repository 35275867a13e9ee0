"""An HTTP engine of the fleet platform: responses, streams and orders."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable

import orjson
from aiohttp import web
from shallotstand.standins.duty_calls import DutyCallLog
from shallotstand.standins.request_limit import RequestLimit

_ATTEMPT_ID_HEADER = "X-Shallotstand-Attempt-Id"
_SEAL_HEADER = "X-Shallotstand-Server-Seal"
LEAVING_HEADER = "Server-Leaving"
# Tells a test which start of which engine gave an answer.
START_HEADER = "X-Engine-Start"
_EXPECTED_HEADER = "X-Shallotstand-Expect-Instance"
_VERSIONS_HEADER = "X-Shallotstand-Weight-Versions"
# Time for which an engine runs a request that makes it crash, and time until it
# is back.
CRASH_DELAY_S = 0.02
RESTART_AFTER_S = 1.0
# Number of the event that an engine spoils.
SPOILT_EVENT = 8


class FleetEngine:
    """An engine that echoes plain requests and streams the texts of items.

    Attributes:
      name: Its identifier.
      version: Weight version of its model.
      started_requests: Identifiers of the requests that it started, in order.
      header_lines_by_request: Names, in lower case, and values of the headers
        with which each request arrived last.
      accepted_orders: Orders that it accepted: holder, fencing token, version.
      duty_calls: All orders that arrived.
      limit: The limit that it states in its responses, and what arrived.
      service: Service that it belongs to.
      software_version: Version of its software; its events name it unless it
        is empty.
      crashing_body: Content of the requests that make it crash; none if empty.
      arrivals_of_crashing: Monotonic times in seconds at which it began to run
        such requests.
      event_count: Number of events in each text.
      leaving_header: Value of the header by which it says that it leaves, in
        all its answers; None if it does not say so.
      requests_by_start: Requests that it started, by its start.
      loses_answers: Whether it breaks connections off instead of answering
        plain requests that it has run.
      events_until_break: Events after which it breaks a stream off; 0 if it
        never does.
      endless_data: Data of the events with which it goes on after a text until
        the connection is closed; it ends its texts if empty.
      spoilt_version: What the eighth event of each text names as its version;
        nothing if empty.
      started_ms: Time of its last start in Unix milliseconds.
      on_start: Called after it has started again.
    """

    def __init__(
        self,
        name: str,
        event_count: int = 20,
        pause_s: float = 0.05,
        checks_fences: bool = True,
        service: str = "engines",
        software_version: str = "",
    ):
        """Creates an engine.

        Args:
          name: Its identifier.
          event_count: Number of events in each text.
          pause_s: Seconds before each event, and before a plain response.
          checks_fences: Whether it refuses orders with outdated tokens.
          service: Service that it belongs to.
          software_version: Version of its software.
        """
        self.name = name
        self.version = 1
        self.started_requests: list[str] = []
        self.header_lines_by_request: dict[str, list[tuple[str, str]]] = {}
        self.accepted_orders: list[tuple[str, int, int]] = []
        self.duty_calls = DutyCallLog(checks_fences)
        self.limit = RequestLimit()
        self.service = service
        self.software_version = software_version
        self.crashing_body = b""
        self.arrivals_of_crashing: list[float] = []
        self.leaving_header: str | None = None
        self.requests_by_start: dict[str, set[str]] = {}
        self.loses_answers = False
        self.events_until_break = 0
        self.endless_data = ""
        self.spoilt_version = ""
        self.started_ms = 1_700_000_000_000
        self.address = ""
        self.on_start: Callable[[], Awaitable[None]] | None = None
        self.event_count = event_count
        self._pause_s = pause_s
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._restart_task: asyncio.Task | None = None

    async def start(self) -> str:
        """Listens on the loopback interface and returns the address."""
        app = web.Application()
        app.on_response_prepare.append(self._add_headers)
        app.router.add_get("/shallotstand/report", self._handle_report)
        app.router.add_post("/shallotstand/order", self._handle_order)
        app.router.add_post("/rollouts/{tail:.*}", self._handle_stream)
        app.router.add_post("/rollouts-{name}/{tail:.*}", self._handle_stream)
        app.router.add_post("/events/{tail:.*}", self._handle_stream)
        app.router.add_route("*", "/{tail:.*}", self._handle_plain)
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
        return self.address

    async def stop(self) -> None:
        """Stops listening."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self, restart_after_s: float) -> None:
        """Resets all connections; starts again at the same address later."""
        if self._restart_task is not None and not self._restart_task.done():
            return
        await self._site.stop()
        self.reset_connections()
        self._restart_task = asyncio.create_task(self._restart(restart_after_s))

    async def restart(self, software_version: str) -> None:
        """Starts again at once, with other software and the same identifier."""
        await self._site.stop()
        self.reset_connections()
        self.software_version = software_version
        await self._restart(0.0)

    def reset_connections(self) -> None:
        """Resets all connections, also those with a request under way."""
        for protocol in self._runner.server.connections:
            if protocol.transport is not None:
                protocol.transport.abort()

    async def _restart(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.started_ms = int(time.time() * 1000)
        await self._listen(int(self.address.rpartition(":")[2]))
        if self.on_start is not None:
            await self.on_start()

    async def _listen(self, port: int) -> None:
        self._site = web.TCPSite(
            self._runner, "127.0.0.1", port, reuse_address=True
        )
        await self._site.start()

    @property
    def start_name(self) -> str:
        """Its identifier and start, as its answers name them for tests."""
        return f"{self.name}@{self.started_ms}"

    async def _add_headers(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[START_HEADER] = self.start_name
        if self.leaving_header is not None:
            response.headers[LEAVING_HEADER] = self.leaving_header

    def _record_start(self, request: web.Request) -> None:
        request_id = request.headers[_ATTEMPT_ID_HEADER]
        self.started_requests.append(request_id)
        self.header_lines_by_request[request_id] = [
            (name.decode().lower(), value.decode())
            for name, value in request.raw_headers
        ]
        self.requests_by_start.setdefault(self.start_name, set()).add(
            request_id
        )

    async def _crash_if_told(self, request: web.Request) -> None:
        """Crashes if the request is one that it can't survive."""
        body = await request.read()
        if not self.crashing_body or body != self.crashing_body:
            return
        self.arrivals_of_crashing.append(time.monotonic())
        await asyncio.sleep(CRASH_DELAY_S)
        await self.crash(RESTART_AFTER_S)

    def item_text(self, item_id: str) -> str:
        """Returns the complete text that is generated for an item."""
        return "\n".join(
            f"{item_id} {number}" for number in range(1, self.event_count + 1)
        )

    async def _handle_plain(self, request: web.Request) -> web.Response:
        request_id = request.headers[_ATTEMPT_ID_HEADER]
        limit_headers = self.limit.record_arrival(request_id)
        self._record_start(request)
        await self._crash_if_told(request)
        await asyncio.sleep(self._pause_s)
        if self.loses_answers:
            request.transport.abort()
            return web.Response()
        headers = {
            **limit_headers,
            _ATTEMPT_ID_HEADER: request_id,
            _SEAL_HEADER: f"seal-{request_id}",
        }
        return web.Response(body=await request.read(), headers=headers)

    async def _handle_stream(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers[_ATTEMPT_ID_HEADER]
        limit_headers = self.limit.record_arrival(request_id)
        self._record_start(request)
        await self._crash_if_told(request)
        response = web.StreamResponse(
            headers={
                **limit_headers,
                _ATTEMPT_ID_HEADER: request_id,
                _SEAL_HEADER: f"seal-{request_id}",
                _VERSIONS_HEADER: str(self.version),
            }
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        announced_version = self.version
        for number in range(first, self.event_count + 1):
            if number - first == self.events_until_break > 0:
                request.transport.abort()
                return response
            await asyncio.sleep(self._pause_s)
            version_field = f"{_VERSIONS_HEADER.lower()}: {self.version}\n"
            text = f"{request_id} {number}"
            if self.software_version:
                text = f"{text} {self.software_version}"
            event = f"id: {number}\ndata: {text}\n\n"
            if announced_version != self.version:
                announced_version, event = self.version, version_field + event
            if self.spoilt_version and number == SPOILT_EVENT:
                line = f"{_VERSIONS_HEADER.lower()}: {self.spoilt_version}\n"
                event = line + event
            await response.write(event.encode())
        if self.endless_data:
            await self._go_on(response, max(first, self.event_count + 1))
        await response.write_eof()
        return response

    async def _go_on(self, response: web.StreamResponse, first: int) -> None:
        """Sends events until the connection is closed."""
        for number in itertools.count(first):
            event = f"id: {number}\ndata: {self.endless_data}\n\n"
            await response.write(event.encode())

    async def _handle_report(self, request: web.Request) -> web.Response:
        if request.headers.get(_EXPECTED_HEADER, self.name) != self.name:
            return web.Response(status=421)
        body = {
            "born": self.started_ms,
            "state": "draining" if self.leaving_header == "1" else "ready",
            "stage": "both",
            "models": [{"name": "model", "version": self.version}],
            "busy": False,
            "seq": len(self.accepted_orders),
        }
        return web.Response(body=orjson.dumps(body))

    async def _handle_order(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        is_accepted = self.duty_calls.accept(body["holder"], body["fence"])
        if body["precondition"] != len(self.accepted_orders):
            return web.Response(status=409)
        if not is_accepted:
            return web.Response(status=412)
        self.accepted_orders.append(
            (body["holder"], body["fence"], body["version"])
        )
        self.version = body["version"]
        return web.Response(status=202)

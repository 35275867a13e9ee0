"""A small stand-in for a plain service."""

import asyncio
import collections
from typing import NamedTuple

import orjson
from sanic import Request, Sanic
from sanic.response import HTTPResponse, empty, raw
from shallotstand.core.ids import new_id

MODES = ("echo", "refuse", "hang", "cut")
_JSON = "application/json"
_REFUSED_STATUS = 503


class PlainState(NamedTuple):
    """How the service answers from now on.

    Attributes:
      mode: `echo` answers; `refuse` answers 503 without running; `hang` runs
        and never answers; `cut` runs and closes the connection in mid-answer.
    """

    mode: str = "echo"


class StandinPlainService:
    """Echoes requests and counts the runs of each.

    Attributes:
      incarnation: Identifier of this run.
      state: How it answers from now on.
      runs_by_id: How often a request ran, by its id.
      headers_seen: Names of all request headers, to look for leaked keys.
    """

    def __init__(self, slots: int):
        self.incarnation = new_id()
        self.state = PlainState()
        self.slots = slots
        self.running = 0
        self.runs_by_id: collections.Counter[str] = collections.Counter()
        self.headers_seen: set[str] = set()

    def run(self, request_id: str, path: str, body: bytes) -> bytes:
        """Runs a request and returns the body of its answer."""
        self.runs_by_id[request_id] += 1
        return orjson.dumps(
            {
                "path": path,
                "body": body.decode(errors="replace"),
                "runs": self.runs_by_id[request_id],
            }
        )

    def load(self) -> dict[str, object]:
        """Returns the load report that the sidecar asks for."""
        return {
            "incarnation": self.incarnation,
            "running": self.running,
            "queued": 0,
            "slots": self.slots,
            "free_blocks": 0,
            "version": "",
            "added": [],
            "evicted": [],
        }


def make_plain_app(name: str, service: StandinPlainService) -> Sanic:
    """Returns the application of one plain service.

    Args:
      name: Name of the application, unique in the process.
      service: The service.
    """
    app = Sanic(name, configure_logging=False)
    # Sanic rewrites its own methods once a process; several apps live here.
    app.config.TOUCHUP = False

    @app.get("/load")
    async def load(_: Request) -> HTTPResponse:
        return raw(orjson.dumps(service.load()), content_type=_JSON)

    @app.get("/record")
    async def record(_: Request) -> HTTPResponse:
        seen = {
            "runs": service.runs_by_id,
            "headers": sorted(service.headers_seen),
        }
        return raw(orjson.dumps(seen), content_type=_JSON)

    @app.put("/state")
    async def set_state(request: Request) -> HTTPResponse:
        service.state = PlainState(**request.json)
        return empty()

    @app.route("/<path:path>", methods=["GET", "POST"])
    async def call(request: Request, path: str) -> HTTPResponse | None:
        service.headers_seen.update(
            header.lower() for header in request.headers
        )
        service.running += 1
        try:
            return await _answer(request, "/" + path, service)
        finally:
            service.running -= 1

    return app


async def _answer(
    request: Request, path: str, service: StandinPlainService
) -> HTTPResponse | None:
    if service.state.mode == "refuse":
        return raw(b"busy", status=_REFUSED_STATUS)
    request_id = request.headers.get("x-request-id", "")
    body = service.run(request_id, path, request.body)
    if service.state.mode == "echo":
        return raw(body, content_type=_JSON)
    if service.state.mode == "hang":
        await asyncio.Event().wait()
    response = await request.respond(content_type=_JSON)
    await response.send(body[: len(body) // 2])
    request.transport.abort()
    return None

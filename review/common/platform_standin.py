"""A stand-in of the platform: its store of objects, and its duty calls.

It follows PROTOCOL.md, section "The platform's metadata store". Each machine
reaches it at a port of its own, so that it can be out of order for some.
"""

import asyncio
import itertools
import json
from typing import Any

from aiohttp import web

_PATH = "/shallotstand/objects/{kind}"
_MOST_ITEMS = 500


class PlatformStandin:
    """Keeps objects in memory, and shows faults to single machines.

    Attributes:
      silent_ports: Ports at which calls get no answer and have no effect.
      usage_calls: Usage reports that arrived: window, counts, holder, fence.
    """

    def __init__(self, log: Any):
        """Creates a platform without objects.

        Args:
          log: Called with one line of the record.
        """
        self._log = log
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revisions = itertools.count(1)
        self._revision = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.silent_ports: set[int] = set()
        self.usage_calls: list[tuple[int, dict, str, int]] = []

    async def start(self) -> None:
        """Prepares the server; `listen` opens its ports."""
        app = web.Application(client_max_size=4 << 20, middlewares=[self._hide])
        app.router.add_get(_PATH, self._list_or_watch)
        app.router.add_post(_PATH, self._create)
        app.router.add_get(_PATH + "/{name}", self._get)
        app.router.add_put(_PATH + "/{name}", self._replace)
        app.router.add_put(_PATH + "/{name}/status", self._replace)
        app.router.add_delete(_PATH + "/{name}", self._delete)
        app.router.add_post("/usage", self._take_usage)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()

    async def listen(self) -> int:
        """Opens a port for a machine and returns it."""
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes all ports."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object on behalf of the operator or a server."""
        self._write(kind, name, {"spec": spec})

    def remove(self, kind: str, name: str) -> None:
        """Removes an object on behalf of the operator or a server."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._record(kind, True, item)

    @web.middleware
    async def _hide(self, request: web.Request, handler: Any) -> Any:
        """Gives no answer to machines that the store does not serve."""
        port = request.transport.get_extra_info("sockname")[1]
        if port in self.silent_ports:
            await asyncio.sleep(3600)
        response = await handler(request)
        if port in self.silent_ports:
            await asyncio.sleep(3600)
        return response

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        kind, query = request.match_info["kind"], request.query
        if "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000
            )
        names = sorted(
            name
            for of_kind, name in self._objects
            if of_kind == kind and name > query.get("after", "")
        )
        return web.json_response(
            {
                "items": [self._objects[kind, n] for n in names[:_MOST_ITEMS]],
                "more": len(names) > _MOST_ITEMS,
                "as_of": self._revision,
            }
        )

    async def _watch(self, kind: str, since: int, wait_s: float) -> Any:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            events = [
                {"object": item, "removed": is_removed}
                for revision, of_kind, is_removed, item in self._history
                if of_kind == kind and revision > since
            ]
            left_s = deadline - loop.time()
            if events or left_s <= 0:
                return web.json_response(
                    {"events": events, "as_of": self._revision}
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["kind"], request.match_info["name"]
        if key not in self._objects:
            return web.json_response({}, status=404)
        return web.json_response(self._objects[key])

    async def _create(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if (kind, name) in self._objects:
            return web.json_response(self._objects[kind, name], status=409)
        return web.json_response(
            self._write(kind, name, {"spec": body.get("spec")})
        )

    async def _replace(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        kind, name = request.match_info["kind"], request.match_info["name"]
        item = self._objects.get((kind, name))
        if item is None:
            return web.json_response({}, status=404)
        revision = body.get("metadata", {}).get("revision")
        if revision is not None and revision != item["metadata"]["revision"]:
            return web.json_response(item, status=409)
        field = "status" if request.path.endswith("/status") else "spec"
        if item[field] == body.get(field):
            return web.json_response(item)
        return web.json_response(
            self._write(kind, name, {field: body.get(field)})
        )

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if (kind, name) not in self._objects:
            return web.json_response({}, status=404)
        self.remove(kind, name)
        return web.json_response({})

    async def _take_usage(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        self.usage_calls.append(
            (
                body["window"],
                body["counts"],
                request.headers["X-Shallotstand-Duty-Holder"],
                int(request.headers["X-Shallotstand-Fence-Token"]),
            )
        )
        return web.json_response({})

    def _write(self, kind: str, name: str, fields: dict) -> dict[str, Any]:
        old = self._objects.get((kind, name), {"spec": None, "status": None})
        item = {**old, **fields}
        item["metadata"] = {
            "name": name,
            "revision": next(self._revisions),
            "created": old.get("metadata", {}).get("created", self._revision),
            "finalizers": [],
            "deleting": False,
        }
        self._objects[kind, name] = item
        self._revision = item["metadata"]["revision"]
        self._record(kind, False, item, self._revision)
        return item

    def _record(
        self, kind: str, is_removed: bool, item: dict, revision: int = 0
    ) -> None:
        self._revision = revision or next(self._revisions)
        self._history.append((self._revision, kind, is_removed, item))
        self._changed.set()
        self._changed = asyncio.Event()

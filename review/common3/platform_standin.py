"""A stand-in of the platform: its object store and its API for duties.

Each machine of a case reaches it at a port of its own, so that a case can
partition one machine from it.
"""

import asyncio
import time
from typing import Any

import orjson
from aiohttp import web

# Kinds of objects as they are spelled in paths.
_OBJECTS = "/shallotstand/objects"


class Platform:
    """The store and the duty API, in memory.

    Attributes:
      objects: Objects by kind and name.
      calls: Duty calls: time, holder, generation number, body.
      cut: Machines whose calls get no answer and take no effect.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.calls: list[dict[str, Any]] = []
        self.cut: set[str] = set()
        self._revision = 1
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._runners: list[web.AppRunner] = []
        self._healed = asyncio.Event()

    async def listen(self, machine: str) -> str:
        """Opens the port of a machine; returns its address."""

        @web.middleware
        async def partition(request: web.Request, handler: Any) -> Any:
            if machine in self.cut:
                # The bytes of a partitioned machine don't arrive.
                await self._healed.wait()
                request.transport.abort()
                return web.Response(status=503)
            response = await handler(request)
            if machine in self.cut:
                await self._healed.wait()
            return response

        app = web.Application(client_max_size=8 << 20, middlewares=[partition])
        app.router.add_get(_OBJECTS + "/{kind}", self._list_or_watch)
        app.router.add_post(_OBJECTS + "/{kind}", self._create)
        app.router.add_get(_OBJECTS + "/{kind}/{name}", self._get)
        app.router.add_put(_OBJECTS + "/{kind}/{name}", self._replace)
        app.router.add_put(_OBJECTS + "/{kind}/{name}/status", self._status)
        app.router.add_delete(_OBJECTS + "/{kind}/{name}", self._delete)
        app.router.add_post("/usage", self._usage)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def partition(self, machine: str) -> None:
        """Cuts a machine off: its calls and their answers don't arrive."""
        self.cut.add(machine)
        self._healed.clear()

    def heal(self) -> None:
        """Ends all partitions."""
        self.cut.clear()
        self._healed.set()

    async def stop(self) -> None:
        """Closes all ports."""
        self.heal()
        for runner in self._runners:
            await runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object on behalf of an operator, engine or trainer."""
        known = self.objects.get((kind, name))
        created = known["metadata"]["created"] if known else int(time.time())
        status = known["status"] if known else None
        self._store(kind, name, spec, status, created)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._record(kind, item, True)

    def _store(
        self, kind: str, name: str, spec: Any, status: Any, created: int
    ) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if known and (known["spec"], known["status"]) == (spec, status):
            return known
        self._revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return item

    def _record(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self._history.append((self._revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        kind, query = request.match_info["kind"], request.query
        if "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000
            )
        after = query.get("after", "")
        items = sorted(
            (
                item
                for (other, _), item in self.objects.items()
                if other == kind and item["metadata"]["name"] > after
            ),
            key=lambda item: item["metadata"]["name"],
        )
        return _answer(
            {
                "items": items[:500],
                "more": len(items) > 500,
                "as_of": self._revision,
            }
        )

    async def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> web.Response:
        ends_at = time.monotonic() + wait_s
        while True:
            events = [
                {"object": item, "removed": removed}
                for at, other, item, removed in self._history
                if other == kind and at > revision
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return _answer({"events": events, "as_of": self._revision})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _get(self, request: web.Request) -> web.Response:
        item = self.objects.get(_key(request))
        return web.Response(status=404) if item is None else _answer(item)

    async def _create(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        known = self.objects.get((kind, name))
        if known is not None:
            return _answer(known, 409)
        now = int(time.time())
        return _answer(self._store(kind, name, body.get("spec"), None, now))

    async def _replace(self, request: web.Request) -> web.Response:
        return await self._change(request, "spec")

    async def _status(self, request: web.Request) -> web.Response:
        return await self._change(request, "status")

    async def _change(self, request: web.Request, part: str) -> web.Response:
        body = orjson.loads(await request.read())
        kind, name = _key(request)
        known = self.objects.get((kind, name))
        if known is None:
            return web.Response(status=404)
        revision = body.get("metadata", {}).get("revision")
        if revision not in (None, known["metadata"]["revision"]):
            return _answer(known, 409)
        parts = {"spec": known["spec"], "status": known["status"]}
        parts[part] = body.get(part)
        created = known["metadata"]["created"]
        return _answer(
            self._store(kind, name, parts["spec"], parts["status"], created)
        )

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        if (kind, name) not in self.objects:
            return web.Response(status=404)
        self.remove(kind, name)
        return _answer({})

    async def _usage(self, request: web.Request) -> web.Response:
        self.calls.append(
            {
                "at": time.monotonic(),
                "holder": request.headers["X-Shallotstand-Duty-Holder"],
                "fence": int(request.headers["X-Shallotstand-Fence-Token"]),
                "body": orjson.loads(await request.read()),
            }
        )
        return _answer({})


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _answer(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )

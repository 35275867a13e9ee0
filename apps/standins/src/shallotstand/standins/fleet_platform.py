"""An in-memory HTTP server for the fleet platform's store and usage reports."""

from typing import Any

import orjson
from aiohttp import web
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document
from shallotstand.standins.duty_calls import DutyCallLog
from shallotstand.standins.memory_documents import MemoryDocuments

_STATUS_BY_CODE = {
    ResultCode.OBJECT_NOT_FOUND: 404,
    ResultCode.VERSION_CONFLICT: 409,
    ResultCode.HISTORY_GONE: 410,
    ResultCode.STORE_UNAVAILABLE: 503,
}
_ITEMS_PER_PAGE = 50


class FleetPlatform:
    """Serves the platform's document store and receives usage reports.

    Attributes:
      documents: The document store that is served.
      reports: Usage reports in the order of their receipt: window, counts,
        holder, fencing token.
      duty_calls: All usage reports that arrived, also refused ones.
      peer_port_by_gateway: Ports at which gateways are registered instead of
        their own, such as those of proxies.
    """

    def __init__(self, checks_fences: bool = True) -> None:
        """Creates a platform.

        Args:
          checks_fences: Whether it refuses reports with outdated tokens.
        """
        self.documents = MemoryDocuments()
        self.reports: list[tuple[int, dict[str, int], str, int]] = []
        self.duty_calls = DutyCallLog(checks_fences)
        self.peer_port_by_gateway: dict[str, int] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> str:
        """Listens on the loopback interface and returns the address."""
        app = web.Application(client_max_size=4 << 20)
        path = "/shallotstand/objects/{kind}"
        app.router.add_get(path, self._list_or_watch)
        app.router.add_post(path, self._create)
        app.router.add_get(path + "/{name}", self._get)
        app.router.add_put(path + "/{name}", self._replace)
        app.router.add_delete(path + "/{name}", self._delete)
        app.router.add_put(path + "/{name}/status", self._set_status)
        app.router.add_post("/usage", self._receive_report)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object on behalf of a platform user."""
        existing = await self.documents.get(kind, name)
        if isinstance(existing, Failure):
            await self.documents.create(kind, name, spec)
        else:
            await self.documents.replace(kind, name, spec, existing.revision)

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        kind, query = request.match_info["kind"], request.query
        if "watch" in query:
            changes = await self.documents.watch(
                kind, int(query["watch"]), int(query["wait_ms"]) / 1000
            )
            if isinstance(changes, Failure):
                return _failure_response(changes)
            events = [
                {"object": _encode(change.document), "removed": is_removed}
                for change in changes.changes
                for is_removed in (change.is_removed,)
            ]
            return _json_response({"events": events, "as_of": changes.revision})
        listing = await self.documents.list(kind)
        if isinstance(listing, Failure):
            return _failure_response(listing)
        after = query.get("after", "")
        documents = sorted(
            (
                document
                for document in listing.documents
                if document.name > after
            ),
            key=lambda document: document.name,
        )
        return _json_response(
            {
                "items": list(map(_encode, documents[:_ITEMS_PER_PAGE])),
                "more": len(documents) > _ITEMS_PER_PAGE,
                "as_of": listing.revision,
            }
        )

    async def _get(self, request: web.Request) -> web.Response:
        parameters = request.match_info
        return _document_response(
            request,
            await self.documents.get(parameters["kind"], parameters["name"]),
        )

    async def _create(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        spec = self._with_peer_port(kind, name, body["spec"])
        return _document_response(
            request, await self.documents.create(kind, name, spec)
        )

    async def _replace(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], request.match_info["name"]
        spec = self._with_peer_port(kind, name, body["spec"])
        return _document_response(
            request,
            await self.documents.replace(
                kind, name, spec, body["metadata"]["revision"]
            ),
        )

    def _with_peer_port(self, kind: str, name: str, spec: Any) -> Any:
        """Returns the content of an object as it is to be stored."""
        if kind != "gateways" or name not in self.peer_port_by_gateway:
            return spec
        return {**spec, "port": self.peer_port_by_gateway[name]}

    async def _set_status(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        parameters = request.match_info
        return _document_response(
            request,
            await self.documents.set_status(
                parameters["kind"],
                parameters["name"],
                body["status"],
                body["metadata"]["revision"],
            ),
        )

    async def _delete(self, request: web.Request) -> web.Response:
        parameters = request.match_info
        failure = await self.documents.delete(
            parameters["kind"], parameters["name"]
        )
        return (
            _json_response({})
            if failure is None
            else _failure_response(failure)
        )

    async def _receive_report(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        fence = int(request.headers["X-Shallotstand-Fence-Token"])
        holder = request.headers["X-Shallotstand-Duty-Holder"]
        if not self.duty_calls.accept(holder, fence):
            return web.Response(status=409)
        self.reports.append((body["window"], body["counts"], holder, fence))
        return _json_response({})


def _encode(document: Document) -> dict[str, Any]:
    return {
        "metadata": {
            "name": document.name,
            "revision": document.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        },
        "spec": document.spec,
        "status": document.status,
    }


def _document_response(
    request: web.Request, outcome: Document | Failure
) -> web.Response:
    if isinstance(outcome, Failure):
        if outcome.code == ResultCode.OUTCOME_UNKNOWN:
            # The write took effect, but its response is lost.
            request.transport.abort()
            return web.Response()
        return _failure_response(outcome)
    return _json_response(_encode(outcome))


def _failure_response(failure: Failure) -> web.Response:
    return web.Response(status=_STATUS_BY_CODE[failure.code])


def _json_response(body: dict[str, Any]) -> web.Response:
    return web.Response(
        body=orjson.dumps(body), content_type="application/json"
    )

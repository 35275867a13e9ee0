"""HTTP front of the stand-in object store."""

import asyncio
from collections.abc import AsyncIterator
from urllib.parse import unquote

import orjson
from sanic import Request, Sanic
from sanic.response import HTTPResponse, empty, raw
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.object_codec import (
    encode_object,
    from_etag,
    to_etag,
)
from shallotstand.platform.protocols import StoredObject
from shallotstand.standins.object_store import StandinObjectStore, StoreFaults

# Well under the client's limit of 15 s, so that one late line cuts no watch.
HEARTBEAT_S = 5.0
_STATUS_BY_CODE = {
    ResultCode.OBJECT_NOT_FOUND: 404,
    ResultCode.VERSION_CONFLICT: 412,
    ResultCode.VALUE_TOO_LARGE: 413,
}


def add_store_routes(app: Sanic, store: StandinObjectStore) -> None:
    """Serves an object store at /objects and /watch."""

    @app.get("/objects/<key:path>")
    async def get(_: Request, key: str) -> HTTPResponse:
        held = await store.get(unquote(key))
        if isinstance(held, Failure):
            return _failed(held)
        return raw(held.value, headers={"ETag": to_etag(held.version)})

    @app.put("/objects/<key:path>")
    async def put(request: Request, key: str) -> HTTPResponse:
        expected = _expected_version(request)
        version = await store.put(unquote(key), request.body, expected)
        if isinstance(version, Failure):
            return _failed(version)
        return raw(b"", headers={"ETag": to_etag(version)})

    @app.delete("/objects/<key:path>")
    async def delete(request: Request, key: str) -> HTTPResponse:
        failure = await store.delete(unquote(key), _expected_version(request))
        return _failed(failure) if failure else empty()

    @app.get("/objects")
    async def list_objects(request: Request) -> HTTPResponse:
        held = await store.list(request.args.get("prefix", ""))
        if isinstance(held, Failure):
            return _failed(held)
        body = orjson.dumps([encode_object(stored) for stored in held])
        return raw(body, content_type="application/json")

    @app.get("/watch")
    async def watch(request: Request) -> HTTPResponse | None:
        return await _watch(request, store)

    @app.put("/faults")
    async def faults(request: Request) -> HTTPResponse:
        await store.set_faults(StoreFaults(**request.json))
        return empty()


async def _watch(
    request: Request, store: StandinObjectStore
) -> HTTPResponse | None:
    store.calls["watch"] += 1
    prefix = request.args.get("prefix", "")
    seen = len(store.history)
    held = await store.list(prefix)
    if isinstance(held, Failure):
        return _failed(held)
    response = await request.respond(content_type="application/jsonl")
    for stored in held:
        await response.send(_line(stored))
    await response.send(b'{"synced":true}\n')
    async for change in _with_heartbeats(store.changes(prefix, seen)):
        await response.send(_line(change) if change else b"\n")
    await response.eof()
    return None


async def _with_heartbeats(
    changes: AsyncIterator[StoredObject],
) -> AsyncIterator[StoredObject | None]:
    """Yields None after each interval without a change."""
    pending = asyncio.ensure_future(anext(changes, None))
    try:
        while True:
            done, _ = await asyncio.wait({pending}, timeout=HEARTBEAT_S)
            if not done:
                yield None
                continue
            change = pending.result()
            if change is None:
                return
            yield change
            pending = asyncio.ensure_future(anext(changes, None))
    finally:
        pending.cancel()


def _line(stored: StoredObject) -> bytes:
    return orjson.dumps(encode_object(stored)) + b"\n"


def _expected_version(request: Request) -> int:
    """Returns 0 for a request that creates."""
    return from_etag(request.headers.get("if-match", "0"))


def _failed(failure: Failure) -> HTTPResponse:
    status = _STATUS_BY_CODE.get(failure.code, 503)
    return raw(failure.reason.encode(), status=status)

"""Client of the platform's object API over HTTP."""

import asyncio
import random
from collections.abc import AsyncIterator
from urllib.parse import quote

import aiohttp
import orjson
from shallotstand.core.clock import Clock, SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.http_caller import (
    CONNECT_TIMEOUT_S,
    TRANSPORT_ERRORS,
    HttpCaller,
    Reply,
    unavailable,
    unexpected,
)
from shallotstand.platform.object_codec import (
    decode_object,
    decode_objects,
    from_etag,
    to_etag,
)
from shallotstand.platform.protocols import MAX_VALUE_BYTES, StoredObject
from shallotstand.platform.reconnect import ReconnectPolicy

# The store sends an empty line at least every 5 s while nothing changes.
WATCH_SILENCE_S = 15.0
_DECODE_ERRORS = (ValueError, KeyError, TypeError)


class HttpObjectStore:
    """The object API at an HTTP address.

    Versions travel as entity tags: `If-Match` names the expected version of
    an update, `If-None-Match: *` creates.
    """

    def __init__(
        self,
        url: str,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Initializes the client; connections are opened when needed.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
          clock: Clock of the reconnection budget.
          rng: Source of the reconnection jitter.
        """
        self._caller = HttpCaller(url)
        self._reconnects = ReconnectPolicy(
            clock or SystemClock(), rng or random.Random()
        )

    async def get(self, key: str) -> StoredObject | Failure:
        """Reads an object."""
        reply = await self._caller.call("GET", _path(key))
        if isinstance(reply, Failure):
            return reply
        if reply.status == 404:
            return Failure(ResultCode.OBJECT_NOT_FOUND, key)
        version = _version(reply)
        if isinstance(version, Failure):
            return version
        return StoredObject(key, version, reply.body)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> int | Failure:
        """Writes an object if it has the expected version."""
        if len(value) > MAX_VALUE_BYTES:
            return Failure(ResultCode.VALUE_TOO_LARGE, f"{len(value)} bytes")
        reply = await self._caller.call(
            "PUT", _path(key), data=value, headers=_condition(expected_version)
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status == 412:
            return Failure(ResultCode.VERSION_CONFLICT, key)
        if reply.status == 413:
            return Failure(ResultCode.VALUE_TOO_LARGE, key)
        return _version(reply)

    async def delete(self, key: str, expected_version: int) -> Failure | None:
        """Deletes an object if it has the expected version."""
        reply = await self._caller.call(
            "DELETE",
            _path(key),
            headers={"If-Match": to_etag(expected_version)},
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status == 412:
            return Failure(ResultCode.VERSION_CONFLICT, key)
        return None if reply.status == 204 else unexpected(reply)

    async def list(self, prefix: str) -> list[StoredObject] | Failure:
        """Reads every object whose key begins with the prefix."""
        reply = await self._caller.call(
            "GET", "/objects", params={"prefix": prefix}
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return unexpected(reply)
        try:
            return decode_objects(reply.body)
        except _DECODE_ERRORS as error:
            return unavailable(f"Not a list of objects: {error}")

    async def watch(self, prefix: str) -> AsyncIterator[StoredObject | Failure]:
        """Yields the objects below a prefix, then each change of them.

        Objects that vanished while the watch was cut are yielded with version
        0 after the reconnection.
        """
        known: set[str] = set()
        failures = 0
        while True:
            async for item in self._watch_once(prefix, known):
                if isinstance(item, Failure):
                    failures += 1
                else:
                    failures = 0
                yield item
            await asyncio.sleep(self._reconnects.delay(max(1, failures)))

    async def close(self) -> None:
        """Closes the connections."""
        await self._caller.close()

    async def _watch_once(
        self, prefix: str, known: set[str]
    ) -> AsyncIterator[StoredObject | Failure]:
        """Yields from one connection; a Failure comes last."""
        timeout = aiohttp.ClientTimeout(
            connect=CONNECT_TIMEOUT_S, sock_read=WATCH_SILENCE_S
        )
        try:
            async with self._caller.session().get(
                self._caller.url("/watch"),
                params={"prefix": prefix},
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    yield unavailable(f"The store answered {response.status}.")
                    return
                async for stored in _read_changes(response, known):
                    yield stored
                yield unavailable("The watch ended.")
        except TRANSPORT_ERRORS as error:
            yield unavailable(type(error).__name__)
        except _DECODE_ERRORS as error:
            yield unavailable(f"Not an object: {error}")


async def _read_changes(
    response: aiohttp.ClientResponse, known: set[str]
) -> AsyncIterator[StoredObject]:
    """Yields the objects of a watch and keeps the set of known keys.

    Raises:
      ValueError, KeyError, TypeError: A line is not valid.
    """
    present: set[str] = set()
    async for line in response.content:
        if not line.strip():
            continue
        fields = orjson.loads(line)
        if "synced" in fields:
            for key in sorted(known - present):
                known.discard(key)
                yield StoredObject(key, 0, b"")
            continue
        stored = decode_object(fields)
        present.add(stored.key)
        if stored.version:
            known.add(stored.key)
        else:
            known.discard(stored.key)
        yield stored


def _path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _condition(expected_version: int) -> dict[str, str]:
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": to_etag(expected_version)}


def _version(reply: Reply) -> int | Failure:
    if reply.status != 200:
        return unexpected(reply)
    try:
        return from_etag(reply.headers.get("ETag", ""))
    except ValueError:
        return unavailable("The answer names no version.")

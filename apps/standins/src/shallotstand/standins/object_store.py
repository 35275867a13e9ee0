"""A small stand-in for the platform's object API."""

# The method `list` would otherwise hide the type in later annotations.
from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import AsyncIterator
from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.protocols import MAX_VALUE_BYTES, StoredObject

_UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE, "The store is down.")


class StoreFaults(NamedTuple):
    """Faults that a stand-in store shows.

    Attributes:
      down: Every call fails and changes nothing.
      lost_answers: Share of writes that take effect although they fail.
      late_writes: Number of the next writes that fail at once and take effect
        only when `deliver_late` is called.
    """

    down: bool = False
    lost_answers: float = 0.0
    late_writes: int = 0


class StandinObjectStore:
    """Keeps objects in memory, with versions, conditions and watches.

    Attributes:
      faults: Faults to show from now on.
      calls: Number of calls by name; a watch counts as one call.
      history: Every write that took effect, in order.
    """

    def __init__(self, seed: int = 1):
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.history: list[StoredObject] = []
        self._rng = random.Random(seed)
        self._objects_by_key: dict[str, StoredObject] = {}
        self._late: list[tuple[str, bytes, int]] = []
        self._version = 0
        self._changed = asyncio.Condition()

    async def get(self, key: str) -> StoredObject | Failure:
        """Reads an object."""
        self.calls["get"] += 1
        await asyncio.sleep(0)
        if self.faults.down:
            return _UNAVAILABLE
        held = self._objects_by_key.get(key)
        if held is None:
            return Failure(ResultCode.OBJECT_NOT_FOUND, key)
        return held

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> int | Failure:
        """Writes an object if it has the expected version."""
        self.calls["put"] += 1
        await asyncio.sleep(0)
        if self.faults.down:
            return _UNAVAILABLE
        if len(value) > MAX_VALUE_BYTES:
            return Failure(ResultCode.VALUE_TOO_LARGE, f"{len(value)} bytes")
        if self.faults.late_writes > 0:
            self.faults = self.faults._replace(
                late_writes=self.faults.late_writes - 1
            )
            self._late.append((key, value, expected_version))
            return _UNAVAILABLE
        version = await self._apply(key, value, expected_version)
        if self._rng.random() < self.faults.lost_answers:
            return _UNAVAILABLE
        return version

    async def delete(self, key: str, expected_version: int) -> Failure | None:
        """Deletes an object if it has the expected version."""
        self.calls["delete"] += 1
        await asyncio.sleep(0)
        if self.faults.down:
            return _UNAVAILABLE
        held = self._objects_by_key.get(key)
        if held is None or held.version != expected_version:
            return Failure(ResultCode.VERSION_CONFLICT, key)
        del self._objects_by_key[key]
        await self._record(StoredObject(key, 0, b""))
        return None

    async def list(self, prefix: str) -> list[StoredObject] | Failure:
        """Reads every object whose key begins with the prefix."""
        self.calls["list"] += 1
        await asyncio.sleep(0)
        if self.faults.down:
            return _UNAVAILABLE
        return _objects_below(self._objects_by_key, prefix)

    async def watch(self, prefix: str) -> AsyncIterator[StoredObject | Failure]:
        """Yields the objects below a prefix, then each change of them."""
        while True:
            self.calls["watch"] += 1
            if self.faults.down:
                yield _UNAVAILABLE
                await self._wait(lambda: not self.faults.down)
                continue
            seen = len(self.history)
            for held in _objects_below(self._objects_by_key, prefix):
                yield held
            async for change in self.changes(prefix, seen):
                yield change

    async def changes(
        self, prefix: str, seen: int
    ) -> AsyncIterator[StoredObject]:
        """Yields changes below a prefix until the store goes down.

        Args:
          prefix: Prefix of the keys.
          seen: Length of the history up to which changes are known.
        """
        while not self.faults.down:
            for change in self.history[seen:]:
                if change.key.startswith(prefix):
                    yield change
            seen = len(self.history)
            await self._wait(
                lambda seen=seen: len(self.history) > seen or self.faults.down
            )

    async def set_faults(self, faults: StoreFaults) -> None:
        """Shows these faults from now on; open watches notice an outage."""
        self.faults = faults
        async with self._changed:
            self._changed.notify_all()

    async def deliver_late(self) -> None:
        """Lets the writes that were held back take effect now."""
        late, self._late = self._late, []
        for key, value, expected_version in late:
            await self._apply(key, value, expected_version)

    async def _apply(
        self, key: str, value: bytes, expected_version: int
    ) -> int | Failure:
        held = self._objects_by_key.get(key)
        if (held.version if held else 0) != expected_version:
            return Failure(ResultCode.VERSION_CONFLICT, key)
        self._version += 1
        stored = StoredObject(key, self._version, value)
        self._objects_by_key[key] = stored
        await self._record(stored)
        return self._version

    async def _record(self, change: StoredObject) -> None:
        self.history.append(change)
        async with self._changed:
            self._changed.notify_all()

    async def _wait(self, ready) -> None:
        async with self._changed:
            await self._changed.wait_for(ready)


# Outside the class, in which `list` is the method.
def _objects_below(
    objects_by_key: dict[str, StoredObject], prefix: str
) -> list[StoredObject]:
    return [
        held
        for key, held in sorted(objects_by_key.items())
        if key.startswith(prefix)
    ]

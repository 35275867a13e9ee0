"""Conditional updates whose outcome is known although answers get lost."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.platform.protocols import ObjectStore, StoredObject

# A writer whose answer was lost recognizes its write unless this many others
# follow before it reads the object back.
KEPT_WRITE_IDS = 8
WRITE_IDS_FIELD = "write_ids"

Value = dict[str, Any]
Change = Callable[[Value | None], Value | Failure | None]


class Backoff(NamedTuple):
    """Delays between repeated calls.

    Attributes:
      attempts: Calls in all, the first included.
      first_s: Mean delay after the first call in seconds; it doubles.
      longest_s: Upper limit of the mean delay in seconds.
      rng: Source of the jitter, which keeps writers from repeating together.
    """

    attempts: int = 6
    first_s: float = 0.05
    longest_s: float = 1.0
    rng: random.Random = random.Random()

    async def tries(self) -> AsyncIterator[int]:
        """Yields the number of each call, after the delay before it."""
        delay = self.first_s
        for attempt in range(self.attempts):
            if attempt:
                await asyncio.sleep(delay * self.rng.uniform(0.5, 1.5))
                delay = min(2 * delay, self.longest_s)
            yield attempt


DEFAULT_BACKOFF = Backoff()


class Written(NamedTuple):
    """An update that took effect.

    Attributes:
      version: Version of the object when it was last seen.
      value: Value that this writer wrote, without write ids; the value that
        was read if the change asked for no write.
      is_latest: False if another writer has followed; `version` is then of
        that writer's value.
    """

    version: int
    value: Value
    is_latest: bool = True


class _Base(NamedTuple):
    """What an update starts from; the version is 0 if there is no object."""

    version: int
    value: Value | None
    write_ids: tuple[str, ...]


async def update_object(
    store: ObjectStore,
    key: str,
    change: Change,
    *,
    retry_conflicts: bool = False,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> Written | Failure:
    """Reads an object, changes it and writes it if nobody else did.

    The objects must never be deleted: a list of write ids that is not full is
    taken to reach back to the object's creation.

    Args:
      store: The platform's object API.
      key: Key of the object, whose value is a JSON object.
      change: Called with the current value without write ids, or None if
        there is no object. Returns the new value, None to write nothing, or
        a Failure to give up with. It may be called several times.
      retry_conflicts: Whether to read and change anew after another writer
        won.
      backoff: Delays after an answer of STORE_UNAVAILABLE and after a
        conflict.

    Errors:
      STORE_UNAVAILABLE: The object could not be read; nothing was written.
      VERSION_CONFLICT: Another writer won; this write never takes effect.
      OUTCOME_UNKNOWN: The write was sent and may or may not take effect.
      Any failure of `change`.
    """
    result: Written | Failure = _conflict(key)
    async for _ in backoff.tries():
        base = await _read_base(store, key, backoff)
        if isinstance(base, Failure):
            return base
        value = change(base.value)
        if isinstance(value, Failure):
            return value
        if value is None:
            return Written(base.version, base.value or {})
        result = await _write(store, key, base, value, backoff)
        if not (retry_conflicts and _has_code(result, _CONFLICT)):
            return result
    return result


async def create_once(
    store: ObjectStore,
    key: str,
    value: bytes,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> int | Failure:
    """Creates an object that is never changed.

    Creating the same bytes again is a success, whoever created them first.

    Returns:
      The version of the object.

    Errors:
      VERSION_CONFLICT: The object exists with other bytes.
      OUTCOME_UNKNOWN: The store did not answer; the object may come to exist.
      VALUE_TOO_LARGE: Nothing was written.
    """
    created = await _put_repeatedly(store, key, value, 0, backoff)
    if not _has_code(created, _CONFLICT):
        return created
    held = await read_object(store, key, backoff)
    if isinstance(held, Failure):
        return _unknown(key)
    return held.version if held.value == value else _conflict(key)


async def read_object(
    store: ObjectStore, key: str, backoff: Backoff = DEFAULT_BACKOFF
) -> StoredObject | Failure:
    """Reads an object, repeatedly while the store is unavailable.

    Errors:
      OBJECT_NOT_FOUND: There is none.
      STORE_UNAVAILABLE: No answer to any of the calls.
    """
    return await _repeat(lambda: store.get(key), backoff)


def decode_value(content: bytes) -> Value:
    """Returns a stored value without its write ids."""
    value = orjson.loads(content)
    value.pop(WRITE_IDS_FIELD, None)
    return value


_CONFLICT = ResultCode.VERSION_CONFLICT


def _has_code(result: Any, code: ResultCode) -> bool:
    return isinstance(result, Failure) and result.code == code


def _conflict(key: str) -> Failure:
    return Failure(_CONFLICT, f"Another writer changed {key}.")


def _unknown(key: str) -> Failure:
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        f"It can't be told whether {key} was written.",
    )


async def _repeat(
    call: Callable[[], Awaitable[Any]], backoff: Backoff
) -> Any | Failure:
    """Repeats a call until the answer is not STORE_UNAVAILABLE."""
    result = None
    async for _ in backoff.tries():
        result = await call()
        if not _has_code(result, ResultCode.STORE_UNAVAILABLE):
            return result
    return result


async def _put_repeatedly(
    store: ObjectStore,
    key: str,
    content: bytes,
    expected_version: int,
    backoff: Backoff,
) -> int | Failure:
    """Writes; OUTCOME_UNKNOWN if no call was answered."""
    result = await _repeat(
        lambda: store.put(key, content, expected_version), backoff
    )
    if _has_code(result, ResultCode.STORE_UNAVAILABLE):
        return _unknown(key)
    return result


async def _read_base(
    store: ObjectStore, key: str, backoff: Backoff
) -> _Base | Failure:
    held = await read_object(store, key, backoff)
    if _has_code(held, ResultCode.OBJECT_NOT_FOUND):
        return _Base(0, None, ())
    if isinstance(held, Failure):
        return held
    value = orjson.loads(held.value)
    write_ids = tuple(value.pop(WRITE_IDS_FIELD, ()))
    return _Base(held.version, value, write_ids)


async def _write(
    store: ObjectStore, key: str, base: _Base, value: Value, backoff: Backoff
) -> Written | Failure:
    """Writes a value with a fresh write id and finds out what came of it."""
    write_id = new_id()
    write_ids = [*base.write_ids, write_id][-KEPT_WRITE_IDS:]
    content = orjson.dumps(
        {**value, WRITE_IDS_FIELD: write_ids}, option=orjson.OPT_SORT_KEYS
    )
    version = await _put_repeatedly(store, key, content, base.version, backoff)
    if isinstance(version, int):
        return Written(version, value)
    if not _has_code(version, _CONFLICT):
        return version
    # An earlier call whose answer was lost, here or below the store client,
    # may be what this call conflicts with.
    now = await _read_base(store, key, backoff)
    if isinstance(now, Failure):
        return _unknown(key)
    return _judge(key, base, now, write_id, value)


def _judge(
    key: str, base: _Base, now: _Base, write_id: str, value: Value
) -> Written | Failure:
    """Tells an own write from another writer's after a conflict."""
    if write_id in now.write_ids:
        is_latest = now.write_ids[-1] == write_id
        return Written(now.version, value, is_latest)
    if _reaches_back(base, now):
        return _conflict(key)
    return _unknown(key)


def _reaches_back(base: _Base, now: _Base) -> bool:
    """Says whether every write since the base is in the list of ids."""
    if base.write_ids:
        return base.write_ids[-1] in now.write_ids
    return 0 < len(now.write_ids) < KEPT_WRITE_IDS

"""Conditional updates whose outcome is known although answers get lost.

Stands in for `shallotstand.platform.conditional` until that is in main; the
functions have the same names and results.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.platform.protocols import ObjectStore

KEPT_WRITE_IDS = 8
_WRITE_IDS = "write_ids"
_TRIES = 4
_RETRY_DELAY_S = 0.05

Value = dict[str, Any]
Change = Callable[[Value | None], Value | Failure | None]


class Written(NamedTuple):
    """An update that took effect."""

    version: int
    value: Value


async def update_object(
    store: ObjectStore, key: str, change: Change, *, retry_conflicts: bool
) -> Written | Failure:
    """Reads an object, changes it and writes it if nobody else did.

    Errors:
      STORE_UNAVAILABLE: The object could not be read; nothing was written.
      VERSION_CONFLICT: Another writer won.
      OUTCOME_UNKNOWN: The write may or may not take effect.
      Any failure of `change`.
    """
    result: Written | Failure = Failure(ResultCode.VERSION_CONFLICT, key)
    for _ in range(_TRIES):
        held = await store.get(key)
        if isinstance(held, Failure):
            if held.code != ResultCode.OBJECT_NOT_FOUND:
                return held
            version, value, ids = 0, None, []
        else:
            version, value = held.version, orjson.loads(held.value)
            ids = value.pop(_WRITE_IDS)
        changed = change(value)
        if isinstance(changed, Failure):
            return changed
        if changed is None:
            return Written(version, value or {})
        result = await _write(store, key, version, changed, ids)
        lost = isinstance(result, Failure)
        if not lost or result.code != ResultCode.VERSION_CONFLICT:
            return result
        if not retry_conflicts:
            return result
    return result


async def create_once(
    store: ObjectStore, key: str, value: bytes
) -> int | Failure:
    """Creates an object; succeeds too if it exists with the same value.

    Errors:
      VERSION_CONFLICT: The object exists with another value.
      OUTCOME_UNKNOWN: It is not known whether the object was created.
    """
    version = await _put(store, key, value, 0)
    if not isinstance(version, Failure):
        return version
    if version.code != ResultCode.VERSION_CONFLICT:
        return version
    held = await store.get(key)
    if isinstance(held, Failure):
        return Failure(ResultCode.OUTCOME_UNKNOWN, key)
    return held.version if held.value == value else version


async def _write(
    store: ObjectStore, key: str, version: int, value: Value, ids: list[str]
) -> Written | Failure:
    write_id = new_id()
    kept = [*ids, write_id][-KEPT_WRITE_IDS:]
    written = await _put(
        store, key, orjson.dumps({**value, _WRITE_IDS: kept}), version
    )
    if not isinstance(written, Failure):
        return Written(written, value)
    if written.code != ResultCode.VERSION_CONFLICT:
        return written
    held = await store.get(key)
    if isinstance(held, Failure):
        return Failure(ResultCode.OUTCOME_UNKNOWN, key)
    now = orjson.loads(held.value)[_WRITE_IDS]
    if write_id in now:
        return Written(held.version, value)
    reaches_back = ids[-1] in now if ids else len(now) < KEPT_WRITE_IDS
    return written if reaches_back else Failure(ResultCode.OUTCOME_UNKNOWN, key)


async def _put(
    store: ObjectStore, key: str, value: bytes, expected_version: int
) -> int | Failure:
    for attempt in range(_TRIES):
        version = await store.put(key, value, expected_version)
        if (
            not isinstance(version, Failure)
            or version.code != ResultCode.STORE_UNAVAILABLE
        ):
            return version
        await asyncio.sleep(_RETRY_DELAY_S * 2**attempt)
    return Failure(ResultCode.OUTCOME_UNKNOWN, key)

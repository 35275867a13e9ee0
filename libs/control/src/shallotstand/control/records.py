"""Conditional updates of JSON objects whose answers may be lost."""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeAlias

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.platform.protocols import ObjectStore, StoredObject

KEPT_WRITES = 8
# A put that is repeated once with the same expected version finds out whether
# the first one took effect.
_ATTEMPTS = 3

Value: TypeAlias = dict[str, Any]


class Record(NamedTuple):
    """A decoded object.

    Attributes:
      version: Version in the store; 0 if there is no such object.
      value: Decoded content; empty if there is no such object.
    """

    version: int
    value: Value


ABSENT = Record(0, {})


def decode_record(stored: StoredObject) -> Record:
    """Decodes an object that was read or watched."""
    if stored.version == 0:
        return ABSENT
    return Record(stored.version, orjson.loads(stored.value))


async def read_record(store: ObjectStore, key: str) -> Record | Failure:
    """Reads an object; ABSENT if there is none.

    Errors:
      STORE_UNAVAILABLE: No answer in time.
    """
    stored = await store.get(key)
    if isinstance(stored, StoredObject):
        return decode_record(stored)
    if stored.code == ResultCode.OBJECT_NOT_FOUND:
        return ABSENT
    return stored


async def write_record(
    store: ObjectStore, key: str, held: Record, value: Value
) -> Record | Failure:
    """Writes an object if it is still as it was read.

    Args:
      store: Where to write.
      key: Key of the object.
      held: The object as it was read.
      value: New content; a write id is added to it.

    Errors:
      VERSION_CONFLICT: Another writer was first.
      STORE_UNAVAILABLE: No answer; the write may take effect even later.
      OUTCOME_UNKNOWN: Too many later writes hide whether it took effect.
    """
    write_id = new_id()
    writes = [*held.value.get("writes", ()), write_id][-KEPT_WRITES:]
    value = {**value, "writes": writes}
    body = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    for _ in range(_ATTEMPTS):
        result = await store.put(key, body, held.version)
        if isinstance(result, int):
            return Record(result, value)
        if result.code == ResultCode.VERSION_CONFLICT:
            return await _resolve(store, key, held, write_id)
        if result.code != ResultCode.STORE_UNAVAILABLE:
            return result
    now = await read_record(store, key)
    if isinstance(now, Record) and now.value.get("writes", [])[-1:] == [
        write_id
    ]:
        return now
    return result


async def _resolve(
    store: ObjectStore, key: str, held: Record, write_id: str
) -> Record | Failure:
    """Tells an own write whose answer was lost from another writer's."""
    now = await read_record(store, key)
    if isinstance(now, Failure):
        return Failure(ResultCode.OUTCOME_UNKNOWN, now.reason)
    writes = now.value.get("writes", [])
    if writes[-1:] == [write_id]:
        return now
    if write_id in writes:
        return Failure(ResultCode.VERSION_CONFLICT, "Written over since.")
    before = held.value.get("writes", [])
    if len(writes) < KEPT_WRITES or (before and before[-1] in writes):
        return Failure(ResultCode.VERSION_CONFLICT, "Another writer won.")
    return Failure(ResultCode.OUTCOME_UNKNOWN, "Too many later writes.")


async def update_record(
    store: ObjectStore, key: str, change: Callable[[Value], Value | Failure]
) -> Record | Failure:
    """Reads an object, changes it and writes it once.

    Args:
      store: Where to write.
      key: Key of the object.
      change: Returns the new content, or why there is none.

    Errors:
      As write_record, and those that `change` returns.
    """
    held = await read_record(store, key)
    if isinstance(held, Failure):
        return held
    value = change(held.value)
    if isinstance(value, Failure):
        return value
    return await write_record(store, key, held, value)

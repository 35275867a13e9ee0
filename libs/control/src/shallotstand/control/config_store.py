"""Layout of the published configuration in the platform's object store."""

from typing import Any, NamedTuple

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.delta import Delta, apply_delta
from shallotstand.objects.encoding import catalog_digest, join_snapshot
from shallotstand.objects.types import Catalog
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    Value,
    read_object,
)
from shallotstand.platform.protocols import ObjectStore, StoredObject

HEAD_KEY = "config/head"
# Bounds the number of deltas that a fresh process reads after the snapshot.
SNAPSHOT_INTERVAL = 100


class Head(NamedTuple):
    """Content of `config/head`.

    Attributes:
      revision: The published revision; 0 before the first publication.
      digest: Digest of the objects of that revision; empty before the first
        publication.
      snapshot_revision: Revision of the last snapshot; 0 for none.
      snapshot_digest: Digest of the objects in the snapshot.
      snapshot_parts: Number of parts of the snapshot.
      withdrawn: Hashes of keys withdrawn in an emergency, sorted. Hashes are
        never removed, so no later publication can restore such a key.
    """

    revision: int = 0
    digest: str = ""
    snapshot_revision: int = 0
    snapshot_digest: str = ""
    snapshot_parts: int = 0
    withdrawn: tuple[str, ...] = ()

    @classmethod
    def from_value(cls, value: Value | None) -> "Head":
        """Builds a head from a stored value, or None if no head is stored."""
        known_fields = {
            k: v for k, v in (value or {}).items() if k in cls._fields
        }
        return cls(**known_fields)._replace(
            withdrawn=tuple(known_fields.get("withdrawn", ()))
        )

    @classmethod
    def decode(cls, stored: StoredObject) -> "Head | Failure":
        """Decodes a stored object.

        Errors:
          DIGEST_MISMATCH: The object is not a valid head.
        """
        try:
            return cls.from_value(orjson.loads(stored.value))
        except (ValueError, AttributeError, TypeError) as error:
            return Failure(ResultCode.DIGEST_MISMATCH, f"Head: {error}.")

    def to_value(self) -> dict[str, Any]:
        """Returns the value to store."""
        return self._asdict()


def delta_key(revision: int, digest: str) -> str:
    """Returns the key of a delta.

    The key contains the digest because a publisher that lost a race, or ended
    before it updated the head, leaves a delta of the same revision behind.
    """
    return f"config/delta/{revision}/{digest}"


def snapshot_key(revision: int, digest: str, part: int) -> str:
    """Returns the key of a part of a snapshot."""
    return f"config/snapshot/{revision}/{digest}/{part}"


async def read_head(
    store: ObjectStore, backoff: Backoff = DEFAULT_BACKOFF
) -> Head | Failure:
    """Reads the head, which has revision 0 if nothing was published.

    Errors:
      STORE_UNAVAILABLE: The store did not answer.
      DIGEST_MISMATCH: The object is not a valid head.
    """
    stored = await read_object(store, HEAD_KEY, backoff)
    if not isinstance(stored, Failure):
        return Head.decode(stored)
    if stored.code == ResultCode.OBJECT_NOT_FOUND:
        return Head()
    return stored


async def read_catalog(
    store: ObjectStore,
    head: Head,
    held_catalog: Catalog,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> Catalog | Failure:
    """Reads the catalog that a head refers to.

    Reads only the deltas since the held catalog if they lead to the head,
    otherwise the snapshot and the deltas after it.

    Args:
      store: The platform's object API.
      head: Head that was read before.
      held_catalog: Published catalog that the caller already has.
      backoff: Delays between repeated calls.

    Errors:
      REVISION_OLDER: The head is older than the held catalog.
      STORE_UNAVAILABLE: The store did not answer.
      OBJECT_NOT_FOUND: A delta or part is missing.
      DIGEST_MISMATCH: The content is damaged.
    """
    if held_catalog.revision > head.revision:
        return Failure(
            ResultCode.REVISION_OLDER,
            f"Head is at {head.revision}, {held_catalog.revision} is held.",
        )
    if held_catalog.revision >= head.snapshot_revision:
        result = await _apply_deltas(store, head, held_catalog, backoff)
        if not isinstance(result, Failure):
            return result
        if result.code == ResultCode.STORE_UNAVAILABLE:
            return result
    snapshot = await _read_snapshot(store, head, backoff)
    if isinstance(snapshot, Failure):
        return snapshot
    return await _apply_deltas(store, head, snapshot, backoff)


async def read_changed_names(
    store: ObjectStore,
    head: Head,
    revision: int,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> tuple[str, ...] | Failure:
    """Returns the kind and name of each object changed after a revision.

    Errors:
      STORE_UNAVAILABLE: The store did not answer.
      OBJECT_NOT_FOUND: A delta is missing.
      DIGEST_MISMATCH: The content is damaged.
    """
    since = Catalog.empty()._replace(revision=revision)
    deltas = await _read_deltas(store, head, since, backoff)
    if isinstance(deltas, Failure):
        return deltas
    return tuple(sorted({name for delta in deltas for name in delta.names}))


async def _apply_deltas(
    store: ObjectStore, head: Head, held_catalog: Catalog, backoff: Backoff
) -> Catalog | Failure:
    """Applies the deltas that lead from a catalog to the head."""
    deltas = await _read_deltas(store, head, held_catalog, backoff)
    if isinstance(deltas, Failure):
        return deltas
    catalog = held_catalog
    for delta in reversed(deltas):
        applied = apply_delta(catalog, delta)
        if isinstance(applied, Failure):
            return applied
        catalog = applied
    if head.digest and catalog_digest(catalog) != head.digest:
        return Failure(
            ResultCode.DIGEST_MISMATCH,
            "Catalog does not match the digest of the head.",
        )
    return catalog


async def _read_deltas(
    store: ObjectStore, head: Head, held_catalog: Catalog, backoff: Backoff
) -> list[Delta] | Failure:
    """Reads deltas from the head back to a catalog, newest first.

    Each delta contains the revision and digest of its base, which give the key
    of the preceding delta.
    """
    deltas: list[Delta] = []
    revision, digest = head.revision, head.digest
    while revision > held_catalog.revision:
        key = delta_key(revision, digest)
        stored = await read_object(store, key, backoff)
        if isinstance(stored, Failure):
            return stored
        delta = Delta.decode(stored.value)
        if isinstance(delta, Failure):
            return delta
        if delta.base >= revision:
            return Failure(
                ResultCode.DIGEST_MISMATCH,
                f"{key} has a base that is not older.",
            )
        deltas.append(delta)
        revision, digest = delta.base, delta.base_digest
    return deltas


async def _read_snapshot(
    store: ObjectStore, head: Head, backoff: Backoff
) -> Catalog | Failure:
    if head.snapshot_revision == 0:
        return Catalog.empty()
    parts: list[bytes] = []
    for part in range(head.snapshot_parts):
        key = snapshot_key(head.snapshot_revision, head.snapshot_digest, part)
        stored = await read_object(store, key, backoff)
        if isinstance(stored, Failure):
            return stored
        parts.append(stored.value)
    return join_snapshot(parts, head.snapshot_revision, head.snapshot_digest)

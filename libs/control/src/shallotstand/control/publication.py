"""Publishes a checked set of objects with one conditional update."""

import asyncio
from typing import NamedTuple

from shallotstand.control.config_store import (
    HEAD_KEY,
    SNAPSHOT_INTERVAL,
    Head,
    delta_key,
    read_catalog,
    read_head,
    snapshot_key,
)
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail, Failure
from shallotstand.objects.delta import Delta
from shallotstand.objects.encoding import (
    encode_catalog,
    split_snapshot,
)
from shallotstand.objects.types import Catalog
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    Value,
    Written,
    create_once,
    update_object,
)
from shallotstand.platform.protocols import ObjectStore


class Snapshot(NamedTuple):
    """A stored snapshot.

    Attributes:
      revision: Revision of the catalog.
      digest: Digest of the catalog.
      parts: Number of stored parts.
    """

    revision: int
    digest: str
    parts: int


async def publish(
    store: ObjectStore,
    base: Catalog,
    target: Catalog,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> Catalog | Failure:
    """Publishes a set of objects that passed the check.

    Publishing the same set on the same base again succeeds, so an operator
    may repeat a publication after an unknown outcome.

    Args:
      store: The platform's object API.
      base: The published catalog that the operator started from.
      target: Catalog with the objects to publish; its revision is ignored.
      backoff: Delays between repeated calls.

    Returns:
      The published catalog; `base` if it already contains these objects.

    Errors:
      PUBLISH_CONFLICT: Another publication came first; the details name the
        objects that it changed.
      STORE_UNAVAILABLE: Nothing was published.
      OUTCOME_UNKNOWN: The publication may or may not take effect.
      VALUE_TOO_LARGE: The change exceeds the store's limit; nothing was
        published.
    """
    new_catalog = target._replace(revision=base.revision + 1)
    delta = Delta.between(base, new_catalog)
    if not delta.names:
        return base
    prepared = await _write_delta_and_snapshot(
        store, new_catalog, delta, backoff
    )
    if isinstance(prepared, Failure):
        return _to_unpublished_failure(prepared)
    moved = await _move_head(store, delta, prepared, backoff)
    if isinstance(moved, Written):
        return new_catalog
    if moved.code == ResultCode.PUBLISH_CONFLICT:
        return await _add_changed_objects(store, base, moved, backoff)
    return moved


async def save_withdrawals(
    store: ObjectStore,
    hashes: frozenset[str],
    backoff: Backoff = DEFAULT_BACKOFF,
) -> Head | Failure:
    """Adds hashes of withdrawn keys to the head; its revision stays the same.

    Returns:
      The stored head.

    Errors:
      STORE_UNAVAILABLE, VERSION_CONFLICT, OUTCOME_UNKNOWN: Call this function
        again.
    """

    def add_hashes(value: Value | None) -> Value | None:
        head = Head.from_value(value)
        if hashes.issubset(head.withdrawn):
            return None
        union = tuple(sorted(hashes.union(head.withdrawn)))
        return head._replace(withdrawn=union).to_value()

    written = await update_object(
        store, HEAD_KEY, add_hashes, retry_conflicts=True, backoff=backoff
    )
    if isinstance(written, Failure):
        return written
    return Head.from_value(written.value)


class RevisionConfirmations:
    """Tracks the revision that each listed entry serves.

    A publication is accepted when a majority of the entries has confirmed it.
    """

    def __init__(self, listed_entries: frozenset[str]):
        self._listed_entries = listed_entries
        self._revisions_by_entry: dict[str, int] = {}
        self._confirmation_recorded = asyncio.Condition()

    async def record_confirmation(self, name: str, revision: int) -> None:
        """Records that an entry serves a revision; ignores unlisted entries."""
        if name not in self._listed_entries:
            return
        confirmed_revision = self._revisions_by_entry.get(name, 0)
        self._revisions_by_entry[name] = max(confirmed_revision, revision)
        async with self._confirmation_recorded:
            self._confirmation_recorded.notify_all()

    def confirming_entries(self, revision: int) -> frozenset[str]:
        """Returns the entries that serve the revision or a later one."""
        return frozenset(
            name
            for name, confirmed_revision in self._revisions_by_entry.items()
            if confirmed_revision >= revision
        )

    async def wait_for_majority(
        self, revision: int, timeout_s: float
    ) -> frozenset[str] | Failure:
        """Waits until a majority of the listed entries has confirmed.

        Returns:
          The entries that have confirmed.

        Errors:
          PUBLISH_UNCONFIRMED: No majority in time; the details name the
            entries that are missing.
        """
        majority = len(self._listed_entries) // 2 + 1
        try:
            async with asyncio.timeout(timeout_s), self._confirmation_recorded:
                await self._confirmation_recorded.wait_for(
                    lambda: len(self.confirming_entries(revision)) >= majority
                )
        except TimeoutError:
            return self._unconfirmed_failure(revision)
        return self.confirming_entries(revision)

    def _unconfirmed_failure(self, revision: int) -> Failure:
        code = ResultCode.PUBLISH_UNCONFIRMED
        missing = sorted(
            self._listed_entries - self.confirming_entries(revision)
        )
        return Failure(
            code,
            f"Revision {revision} was not confirmed by a majority in time; "
            f"{len(missing)} entries are missing.",
            tuple(ErrorDetail(code, n, "has not confirmed") for n in missing),
        )


async def _write_delta_and_snapshot(
    store: ObjectStore, new_catalog: Catalog, delta: Delta, backoff: Backoff
) -> Snapshot | Failure | None:
    """Writes the delta, and a snapshot if the revision is due for one."""
    key = delta_key(delta.revision, delta.digest)
    created = await create_once(store, key, delta.encode(), backoff)
    if isinstance(created, Failure):
        return created
    if new_catalog.revision % SNAPSHOT_INTERVAL:
        return None
    return await _write_snapshot(store, new_catalog, delta.digest, backoff)


async def _write_snapshot(
    store: ObjectStore, catalog: Catalog, digest: str, backoff: Backoff
) -> Snapshot | Failure:
    parts = split_snapshot(encode_catalog(catalog))
    for number, part in enumerate(parts):
        key = snapshot_key(catalog.revision, digest, number)
        created = await create_once(store, key, part, backoff)
        if isinstance(created, Failure):
            return created
    return Snapshot(catalog.revision, digest, len(parts))


async def _move_head(
    store: ObjectStore,
    delta: Delta,
    snapshot: Snapshot | None,
    backoff: Backoff,
) -> Written | Failure:
    def advance(value: Value | None) -> Value | Failure | None:
        head = Head.from_value(value)
        if (head.revision, head.digest) == (delta.revision, delta.digest):
            return None  # the same change is already published
        if not _is_base(head, delta):
            return Failure(
                ResultCode.PUBLISH_CONFLICT,
                f"Revision {head.revision} is published; this change was "
                f"made on {delta.base}.",
            )
        new_head = head._replace(revision=delta.revision, digest=delta.digest)
        if snapshot is not None:
            new_head = new_head._replace(
                snapshot_revision=snapshot.revision,
                snapshot_digest=snapshot.digest,
                snapshot_parts=snapshot.parts,
            )
        return new_head.to_value()

    return await update_object(
        store, HEAD_KEY, advance, retry_conflicts=True, backoff=backoff
    )


def _is_base(head: Head, delta: Delta) -> bool:
    if head.revision != delta.base:
        return False
    return head.revision == 0 or head.digest == delta.base_digest


async def _add_changed_objects(
    store: ObjectStore, base: Catalog, conflict: Failure, backoff: Backoff
) -> Failure:
    """Adds the objects changed by the other publication to a conflict."""
    head = await read_head(store, backoff)
    if isinstance(head, Failure):
        return conflict
    published = await read_catalog(store, head, base, backoff)
    if isinstance(published, Failure):
        return conflict
    names = Delta.between(base, published).names
    details = (
        ErrorDetail(conflict.code, name, "was changed by another operator")
        for name in names
    )
    return conflict._replace(details=tuple(details))


def _to_unpublished_failure(failure: Failure) -> Failure:
    """Converts an unknown outcome of a write that precedes the head update.

    Nothing is published until the head is updated, so the publication has
    certainly failed.
    """
    if failure.code != ResultCode.OUTCOME_UNKNOWN:
        return failure
    return Failure(
        ResultCode.STORE_UNAVAILABLE,
        "The store is unavailable; nothing published.",
    )

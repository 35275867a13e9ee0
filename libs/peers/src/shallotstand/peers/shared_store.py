"""Access to the store, which one process watches for its peers."""

import asyncio
from collections.abc import Collection
from typing import Any, NamedTuple, Protocol

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import (
    ChangeBatch,
    Document,
    DocumentStore,
    Listing,
)
from shallotstand.link.gateway_messages import StoreChanges
from shallotstand.peers.change_feed import ChangeFeed
from shallotstand.peers.stored_objects import to_change, to_stored_object

# Name of the role for which the peers choose one process.
WATCHER_ROLE = "watcher of the store"
# Timeout of the watching process's own watches, as a share of the requested
# timeout. It is shorter, so that peers hear that a kind is unchanged before
# they watch the store themselves.
WATCHER_TIMEOUT_SHARE = 0.55
# Share of a watch's timeout after which a process that has received nothing
# from the watching process watches the store itself.
FRESHNESS_SHARE = 0.85
# Timeout of a watch that closes a gap or probes the store, short since it needs
# an answer at once.
IMMEDIATE_WATCH_S = 0.02
# Changes with more content are not broadcast, since a message must stay below
# the size limit of a link; the peers then watch the store themselves.
MAX_CONTENT_BYTES = 3_000_000

_UNAVAILABLE_CODES = (ResultCode.STORE_UNAVAILABLE, ResultCode.OUTCOME_UNKNOWN)


class Peers(Protocol):
    """The connections to the other processes."""

    def is_preferred_owner(self, name: str) -> bool:
        """Returns whether this process is responsible for a task."""
        ...

    def broadcast(self, message: StoreChanges) -> None:
        """Sends a message to all peers."""
        ...


class _Options(NamedTuple):
    kinds_without_content: Collection[str]
    probe_kind: str


class SharedStore:
    """The store, which one process watches on behalf of its peers.

    Implements `DocumentStore`. The peers agree on one watching process, which
    broadcasts the changes; the others wait for its messages. A process that
    receives none for too long watches the store itself; if one of its calls has
    failed, it watches only the probe kind until a watch of that kind succeeds.
    """

    def __init__(
        self,
        store: DocumentStore,
        clock: Clock,
        probe_kind: str,
        kinds_without_content: Collection[str] = (),
    ):
        """Creates a store without peers; `set_peers` adds them.

        Args:
          store: The store.
          clock: Source of time.
          probe_kind: Kind whose watch probes whether the store is available
            after a call has failed.
          kinds_without_content: Kinds whose content is not broadcast.
        """
        self._store = store
        self._clock = clock
        self._options = _Options(kinds_without_content, probe_kind)
        self._peers: Peers | None = None
        self._feeds_by_kind: dict[str, ChangeFeed] = {}
        self._is_probing = False
        self._probe_succeeded = asyncio.Event()
        self._was_watching_for_peers = False
        self._silent_kinds: set[str] = set()

    def set_peers(self, peers: Peers) -> None:
        """Sets the peers with which watches are shared from now on."""
        self._peers = peers

    def receive_changes(self, message: StoreChanges) -> None:
        """Adds the changes that the watching process has broadcast."""
        change_batch = ChangeBatch(
            tuple(
                to_change(message.kind, stored_object)
                for stored_object in message.objects
            ),
            message.to_revision,
        )
        self._feed(message.kind).add(message.from_revision, change_batch)
        if message.kind in self._silent_kinds:
            self._silent_kinds.discard(message.kind)
            logs.event(
                logging.INFO,
                "A peer tells of the store again",
                kind=message.kind,
                revision=message.to_revision,
            )

    def distrust_peers(self, kind: str) -> None:
        """Lets the next watch of a kind ask the store.

        For a process that has learned that changes are missing.
        """
        self._feed(kind).distrust()

    async def list(self, kind: str) -> Listing | Failure:
        """Reads all documents of a kind."""
        return self._check_outcome(await self._store.list(kind))

    async def get(
        self, kind: str, name: str, may_be_stale: bool = False
    ) -> Document | Failure:
        """Reads a document."""
        return self._check_outcome(
            await self._store.get(kind, name, may_be_stale)
        )

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Document | Failure:
        """Creates a document."""
        return self._check_outcome(await self._store.create(kind, name, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Document | Failure:
        """Replaces the content of a document if it has this revision."""
        return self._check_outcome(
            await self._store.replace(kind, name, spec, revision)
        )

    async def set_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Document | Failure:
        """Replaces the status of a document if it has this revision."""
        return self._check_outcome(
            await self._store.set_status(kind, name, status, revision)
        )

    async def delete(self, kind: str, name: str) -> Failure | None:
        """Removes a document; does nothing if it doesn't exist."""
        return self._check_outcome(await self._store.delete(kind, name))

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> ChangeBatch | Failure:
        """Waits for changes of a kind after a revision."""
        if self._is_watching_for_peers():
            return await self._watch_for_peers(kind, revision, wait_s)
        if not self._is_probed_kind(kind):
            change_batch = await self._wait_for_peer_changes(
                kind, revision, wait_s
            )
            if change_batch is not None:
                return change_batch
        if self._is_probing and not self._is_probed_kind(kind):
            if await self._wait_for_probe(wait_s):
                return await self.watch(kind, revision, wait_s)
            return Failure(
                ResultCode.STORE_UNAVAILABLE,
                f"{kind} is not watched while the store is unavailable.",
            )
        if self._is_probing or self._is_fresh(kind, wait_s):
            wait_s = min(wait_s, IMMEDIATE_WATCH_S)
        return self._check_watch_outcome(
            kind, await self._store.watch(kind, revision, wait_s)
        )

    async def _watch_for_peers(
        self, kind: str, revision: int, wait_s: float
    ) -> ChangeBatch | Failure:
        change_batch = self._check_watch_outcome(
            kind,
            await self._store.watch(
                kind, revision, wait_s * WATCHER_TIMEOUT_SHARE
            ),
        )
        if isinstance(change_batch, Failure) or self._peers is None:
            return change_batch
        objects = tuple(
            to_stored_object(
                change, kind not in self._options.kinds_without_content
            )
            for change in change_batch.changes
        )
        if (
            sum(len(stored_object.content) for stored_object in objects)
            < MAX_CONTENT_BYTES
        ):
            self._peers.broadcast(
                StoreChanges(kind, revision, change_batch.revision, objects)
            )
        return change_batch

    async def _wait_for_peer_changes(
        self, kind: str, revision: int, wait_s: float
    ) -> ChangeBatch | None:
        """Waits for changes from the watching process.

        Returns:
          The changes; None if some are missing, if the watching process sends
          no messages, or if the watch of this kind has to probe the store.
        """
        feed = self._feed(kind)
        deadline = self._clock.monotonic() + wait_s
        while self._is_fresh(kind, wait_s):
            change_batch = feed.changes_after(revision)
            remaining_s = deadline - self._clock.monotonic()
            if (
                change_batch is None
                or change_batch.revision > revision
                or remaining_s <= 0
            ):
                return change_batch
            await feed.wait_for_update(
                min(remaining_s, wait_s * FRESHNESS_SHARE)
            )
            if self._is_probed_kind(kind):
                return None
        self._record_silence(kind)
        return None

    async def _wait_for_probe(self, timeout_s: float) -> bool:
        """Waits for a successful probe; returns whether there was one."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._probe_succeeded.wait()
        except TimeoutError:
            return False
        return True

    def _is_probed_kind(self, kind: str) -> bool:
        """Returns whether the watch of this kind has to probe the store."""
        return self._is_probing and kind == self._options.probe_kind

    def _is_watching_for_peers(self) -> bool:
        is_watching = self._peers is None or self._peers.is_preferred_owner(
            WATCHER_ROLE
        )
        if is_watching != self._was_watching_for_peers:
            self._was_watching_for_peers = is_watching
            logs.event(
                logging.INFO,
                "Watches the store for its peers"
                if is_watching
                else "Leaves the watches to a peer",
            )
        return is_watching

    def _is_fresh(self, kind: str, wait_s: float) -> bool:
        return self._feed(kind).is_fresh(wait_s * FRESHNESS_SHARE)

    def _record_silence(self, kind: str) -> None:
        """Logs once that this process watches a kind itself from now on."""
        if kind in self._silent_kinds or not self._feed(kind).has_received:
            return
        self._silent_kinds.add(kind)
        logs.event(
            logging.INFO,
            "No peer tells of the store; watching it here",
            kind=kind,
            silent_s=round(self._feed(kind).silence_s, 3),
        )

    def _check_watch_outcome(
        self, kind: str, outcome: ChangeBatch | Failure
    ) -> ChangeBatch | Failure:
        """Records the outcome of a watch.

        A successful watch of the probe kind ends the probing.
        """
        if not isinstance(outcome, Failure):
            if self._is_probed_kind(kind):
                self._is_probing = False
                self._probe_succeeded.set()
                logs.event(logging.INFO, "The store answers the probe")
            return outcome
        return self._check_outcome(outcome)

    def _check_outcome(self, outcome: Any) -> Any:
        """Starts probing if a call failed, since the store may be down."""
        if (
            isinstance(outcome, Failure)
            and outcome.code in _UNAVAILABLE_CODES
            and not self._is_probing
        ):
            logs.event(
                logging.INFO,
                "A call failed; probing the store",
                code=int(outcome.code),
                reason=outcome.reason,
            )
            self._is_probing = True
            self._probe_succeeded = asyncio.Event()
            self._feed(self._options.probe_kind).wake_waiters()
        return outcome

    def _feed(self, kind: str) -> ChangeFeed:
        if kind not in self._feeds_by_kind:
            self._feeds_by_kind[kind] = ChangeFeed(self._clock)
        return self._feeds_by_kind[kind]

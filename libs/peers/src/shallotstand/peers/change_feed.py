"""Changes of one kind of document, as received from peers."""

import asyncio
import collections
from typing import NamedTuple

from shallotstand.core.clock import Clock
from shallotstand.documents.protocols import Change, ChangeBatch

# Time for which changes are retained for watchers that lag behind. A watcher
# that needs older changes reads the store.
RETENTION_S = 10.0


class _Segment(NamedTuple):
    """Changes after `from_revision`, up to `change_batch.revision`."""

    from_revision: int
    change_batch: ChangeBatch
    received_at: float


class ChangeFeed:
    """Recent changes of one kind of document, in segments sent by peers."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._segments: collections.deque[_Segment] = collections.deque()
        self._last_received_at = float("-inf")
        self._update_received = asyncio.Event()

    def add(self, from_revision: int, change_batch: ChangeBatch) -> None:
        """Adds a segment from a peer; segments may overlap and arrive late."""
        now = self._last_received_at = self._clock.monotonic()
        self._segments.append(_Segment(from_revision, change_batch, now))
        while now - self._segments[0].received_at > RETENTION_S:
            self._segments.popleft()
        self.wake_waiters()

    @property
    def has_received(self) -> bool:
        """Whether a peer has ever sent a segment."""
        return self._last_received_at > float("-inf")

    @property
    def silence_s(self) -> float:
        """Seconds since a peer last sent a segment."""
        return self._clock.monotonic() - self._last_received_at

    def is_fresh(self, max_age_s: float) -> bool:
        """Returns whether a segment arrived in the last `max_age_s` seconds."""
        return self.silence_s < max_age_s

    def distrust(self) -> None:
        """Forgets that a peer has told of the kind lately."""
        self._last_received_at = float("-inf")
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Makes all waiters check their conditions again."""
        self._update_received.set()
        self._update_received = asyncio.Event()

    async def wait_for_update(self, timeout_s: float) -> None:
        """Waits until a segment arrives or `wake_waiters` is called."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._update_received.wait()
        except TimeoutError:
            return

    def changes_after(self, revision: int) -> ChangeBatch | None:
        """Returns the changes after a revision.

        Returns:
          The changes up to the newest revision that is known without a gap;
          None if the changes that directly follow the given revision are
          missing.
        """
        changes: list[Change] = []
        newest_revision = revision
        for segment in self._segments:
            if segment.change_batch.revision <= newest_revision:
                continue
            if segment.from_revision > newest_revision:
                break
            # A removal may carry an older revision; the receiver knows whether
            # the document has been created again since.
            changes.extend(
                change
                for change in segment.change_batch.changes
                if change.is_removed
                or change.document.revision > newest_revision
            )
            newest_revision = segment.change_batch.revision
        if newest_revision == revision and self._has_newer(revision):
            return None
        return ChangeBatch(tuple(changes), newest_revision)

    def _has_newer(self, revision: int) -> bool:
        return any(
            segment.change_batch.revision > revision
            for segment in self._segments
        )

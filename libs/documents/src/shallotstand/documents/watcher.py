"""Watches the documents of one kind and reports their changes."""

import asyncio
from collections.abc import Callable

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Change, Document, DocumentStore

# Timeout of a watch without changes. It limits how long changes go unnoticed if
# a connection hangs without a reset. An endpoint that is leaving, for example,
# must get no more requests after two seconds.
WATCH_TIMEOUT_S = 1.8
# Timeout of watches after a failure; short, so that the recovery of the store
# is detected quickly.
PROBE_TIMEOUT_S = 0.02
# Delays between retries after a failure. They are short since outages of the
# store last seconds, and increase since each call is billed.
INITIAL_RETRY_S = 0.15
MAX_RETRY_S = 0.6


class DocumentWatcher:
    """Reports all changes of the documents of one kind.

    Attributes:
      is_synced: Whether all documents have been reported at least once.
      confirmed_at: Monotonic time in seconds of the last successful call.
      failing_since: Monotonic time in seconds of the first failure after the
        last successful call; None if the last call succeeded.
      recovered_at: Monotonic time in seconds at which the last series of
        failures ended; negative infinity if there was none.
    """

    def __init__(
        self,
        store: DocumentStore,
        kind: str,
        on_change: Callable[[Change], None],
        clock: Clock,
        pause_s: float = 0.0,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
    ):
        """Creates a watcher.

        Args:
          store: The store.
          kind: Kind of the documents.
          on_change: Called with each change, in the store's order.
          clock: Source of time.
          pause_s: Seconds between watches, so that changes in quick succession
            cost a single call.
          watch_timeout_s: Timeout in seconds of a watch without changes. It
            limits the time for which a connection that stalled without a
            reset can go unnoticed.
        """
        self._store = store
        self._kind = kind
        self._on_change = on_change
        self._clock = clock
        self._pause_s = pause_s
        self._watch_timeout_s = watch_timeout_s
        self._listeners: list[Callable[[], None]] = []
        self._call: asyncio.Task | None = None
        self._revision: int | None = None
        self._documents_by_name: dict[str, Document] = {}
        self._synced = asyncio.Event()
        self.confirmed_at = clock.monotonic()
        self.failing_since: float | None = None
        self.recovered_at = float("-inf")

    @property
    def is_synced(self) -> bool:
        """Whether all documents have been reported at least once."""
        return self._synced.is_set()

    async def wait_synced(self) -> None:
        """Waits until all existing documents have been reported."""
        await self._synced.wait()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when the store fails and when it recovers."""
        self._listeners.append(listener)

    def restart_watch(self) -> None:
        """Cancels the current call, which may hang, and starts a new one."""
        if self._call is not None:
            self._call.cancel()

    async def run(self) -> None:
        """Watches the documents until cancelled."""
        retry_s = INITIAL_RETRY_S
        while True:
            failure = await self._run_step()
            if failure is None:
                retry_s = INITIAL_RETRY_S
                await asyncio.sleep(self._pause_s)
                continue
            await asyncio.sleep(retry_s)
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    async def _run_step(self) -> Failure | None:
        self._call = asyncio.create_task(self._step())
        try:
            await asyncio.wait((self._call,))
        except asyncio.CancelledError:
            self._call.cancel()
            raise
        return None if self._call.cancelled() else self._call.result()

    async def _step(self) -> Failure | None:
        if self._revision is None:
            outcome = await self._list_documents()
        else:
            outcome = await self._watch(self._revision)
        if isinstance(outcome, Failure):
            if outcome.code == ResultCode.HISTORY_GONE:
                logs.event(
                    logging.INFO,
                    "The store dropped its history; reading the kind again",
                    kind=self._kind,
                    revision=self._revision,
                )
                self._revision = None
                return None
            self._record_failure(outcome)
            return outcome
        self._record_success()
        return None

    async def _list_documents(self) -> Failure | None:
        listing = await self._store.list(self._kind)
        if isinstance(listing, Failure):
            return listing
        listed_by_name = {
            document.name: document for document in listing.documents
        }
        for name in set(self._documents_by_name) - set(listed_by_name):
            self._apply(Change(self._documents_by_name[name], True))
        for document in sorted(listing.documents, key=_revision_of):
            previous = self._documents_by_name.get(document.name)
            if previous is None or previous.revision != document.revision:
                self._apply(Change(document, False))
        self._revision = listing.revision
        self._synced.set()
        return None

    async def _watch(self, revision: int) -> Failure | None:
        is_probe = self.failing_since is not None
        timeout_s = PROBE_TIMEOUT_S if is_probe else self._watch_timeout_s
        change_batch = await self._store.watch(self._kind, revision, timeout_s)
        if isinstance(change_batch, Failure):
            return change_batch
        for change in change_batch.changes:
            self._apply(change)
        self._revision = change_batch.revision
        return None

    def _apply(self, change: Change) -> None:
        name = change.document.name
        previous = self._documents_by_name.get(name)
        if (
            previous is not None
            and previous.revision > change.document.revision
        ):
            # Changes may arrive late; a newer revision is known already.
            return
        if change.is_removed:
            self._documents_by_name.pop(name, None)
        else:
            # Name and revision are sufficient to detect changes; `on_change`
            # receives the content.
            self._documents_by_name[name] = change.document._replace(
                spec=None, status=None
            )
        try:
            self._on_change(change)
        except Exception as error:
            # One object must not stop the watch: it would do so again after
            # each restart, in every process.
            logs.event(
                logging.ERROR,
                "Change could not be applied",
                kind=self._kind,
                name=name,
                revision=change.document.revision,
                error=repr(error),
            )

    def _record_failure(self, failure: Failure) -> None:
        if self.failing_since is not None:
            return
        self.failing_since = self._clock.monotonic()
        logs.event(
            logging.WARNING,
            "Lost the store",
            kind=self._kind,
            code=int(failure.code),
            reason=failure.reason,
        )
        self._notify()

    def _record_success(self) -> None:
        now = self._clock.monotonic()
        self.confirmed_at = now
        if self.failing_since is None:
            return
        logs.event(
            logging.INFO,
            "Regained the store",
            kind=self._kind,
            after_s=round(now - self.failing_since, 3),
        )
        self.failing_since = None
        self.recovered_at = now
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _revision_of(document: Document) -> int:
    return document.revision

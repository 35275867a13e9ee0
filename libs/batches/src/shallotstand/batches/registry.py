"""The batches that a process has read from the log."""

import asyncio
from collections.abc import Callable, Iterable

from absl import logging
from shallotstand.batches.records import (
    BATCH_LOG_KIND,
    END_SUFFIX,
    SUBMISSION_SUFFIX,
    Item,
    Result,
    ResultsEntry,
    Submission,
    results_from_spec,
    submission_from_spec,
)
from shallotstand.core import logs
from shallotstand.documents.protocols import MALFORMED_CONTENT, Change, Document


class Batch:
    """A batch with the results that this process knows.

    A result is listed once a log entry contains it; the entry also determines
    the position of the result.

    Attributes:
      submission: The batch as accepted from a caller.
      items_by_id: Its items.
      results: Results in the order of their positions.
      listed_ids: Identifiers of the items that have a listed result.
      results_entries: Results entries applied so far, in order.
      is_ended: Whether a caller has ended the batch or the batch was removed
        from the log.
      confirmed_at: Monotonic time in seconds at which the store was last known
        to have no further entries of the batch.
    """

    def __init__(self, submission: Submission):
        self.submission = submission
        self.items_by_id = {item.id: item for item in submission.items}
        self.results: list[Result] = []
        self.listed_ids: set[str] = set()
        self.results_entries: list[ResultsEntry] = []
        self.is_ended = False
        self.confirmed_at = float("-inf")
        self._pending_by_number: dict[int, ResultsEntry] = {}
        self._changed = asyncio.Event()

    @property
    def id(self) -> str:
        """Identifier of the batch."""
        return self.submission.id

    @property
    def entry_count(self) -> int:
        """Number of results entries applied so far."""
        return len(self.results_entries)

    @property
    def is_complete(self) -> bool:
        """Whether every item has a listed result."""
        return len(self.listed_ids) == len(self.items_by_id)

    @property
    def is_open(self) -> bool:
        """Whether the batch has not ended and has items left to run."""
        return not self.is_ended and not self.is_complete

    def unlisted_items(self) -> Iterable[Item]:
        """Returns the items without a listed result."""
        return (
            item
            for item in self.submission.items
            if item.id not in self.listed_ids
        )

    def add_results(self, entry_number: int, entry: ResultsEntry) -> None:
        """Applies a results entry.

        Entries may be repeated and arrive in any order; an entry that arrives
        early is applied once all entries before it have been applied.
        """
        if entry_number > self.entry_count:
            self._pending_by_number[entry_number] = entry
        while self.entry_count + 1 in self._pending_by_number:
            ready = self._pending_by_number.pop(self.entry_count + 1)
            self.results_entries.append(ready)
            self.results.extend(ready.results)
            self.listed_ids.update(result.id for result in ready.results)
            self._notify()

    def end(self) -> None:
        """Marks the batch as ended."""
        if not self.is_ended:
            self.is_ended = True
            self._notify()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for a new result, the end of the batch or the time limit."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class BatchRegistry:
    """Batches by identifier.

    Attributes:
      by_id: The batches whose submission was read.
      unread_ids: Identifiers of the batches in the log that have not ended
        and whose submission was not read.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Batch] = {}
        self.unread_ids: set[str] = set()
        self._latest_batch_by_item: dict[str, str] = {}
        self._listeners: list[Callable[[Batch], None]] = []
        self._early_entries_by_batch: dict[str, list[Document]] = {}
        # Batches that ended before their submission was read. It may still be
        # read, from the store or a peer, and must not run then.
        self._ended_unread_ids: set[str] = set()

    def is_known(self, batch_id: str) -> bool:
        """Returns whether the log has the batch, read or not."""
        return (
            batch_id in self.by_id
            or batch_id in self.unread_ids
            or batch_id in self._ended_unread_ids
        )

    def subscribe(self, listener: Callable[[Batch], None]) -> None:
        """Registers a listener for batches that are added, ended or removed."""
        self._listeners.append(listener)

    def receive_change(self, change: Change) -> None:
        """Applies a change of the log that a watch reported."""
        if not change.is_removed:
            self.apply(change.document)
            return
        batch_id, _, suffix = change.document.name.rpartition(".")
        if suffix == SUBMISSION_SUFFIX:
            self._remove(batch_id)

    def apply(self, document: Document) -> None:
        """Applies a log entry; applying it again has no effect."""
        batch_id, _, suffix = document.name.rpartition(".")
        if document.spec is None:
            self._apply_name(batch_id, suffix)
            return
        try:
            self._apply(batch_id, suffix, document)
        except MALFORMED_CONTENT as error:
            logs.event(
                logging.ERROR,
                "Entry of the batch log can't be read",
                kind=BATCH_LOG_KIND,
                name=document.name,
                reason=repr(error),
            )

    def assign(self, batch_id: str, owner: str) -> None:
        """Lets another process run a batch that is known already."""
        batch = self.by_id.get(batch_id)
        if batch is not None and batch.submission.owner != owner:
            batch.submission = batch.submission._replace(owner=owner)
            self._notify(batch)

    def was_resubmitted_later(self, item_id: str, batch_id: str) -> bool:
        """Returns whether a batch read after the given one has the item."""
        return self._latest_batch_by_item.get(item_id, batch_id) != batch_id

    def find_reusable_result(
        self, item: Item, own_batch: Batch
    ) -> Result | None:
        """Returns the result of the same request in another batch, if any.

        Args:
          item: The item that contains the request.
          own_batch: The batch that contains the item. Only batches of the same
            client account are searched.
        """
        account = own_batch.submission.account
        for batch in self.by_id.values():
            known = batch.items_by_id.get(item.id)
            if (
                known is None
                or batch.id == own_batch.id
                or batch.submission.account != account
                or item.id not in batch.listed_ids
                or not _is_same_request(known, item)
            ):
                continue
            return next(
                result for result in batch.results if result.id == item.id
            )
        return None

    def _apply(self, batch_id: str, suffix: str, document: Document) -> None:
        if suffix == SUBMISSION_SUFFIX:
            if batch_id in self.by_id:
                return
            batch = Batch(submission_from_spec(document.spec))
            self.by_id[batch_id] = batch
            self.unread_ids.discard(batch_id)
            if batch_id in self._ended_unread_ids:
                self._ended_unread_ids.discard(batch_id)
                batch.end()
                logs.event(
                    logging.INFO,
                    "Batch was read after its end",
                    batch=batch_id,
                    owner=batch.submission.owner,
                )
            for document in self._early_entries_by_batch.pop(batch_id, ()):
                self.apply(document)
            self._notify(batch)
            for item in batch.submission.items:
                self._latest_batch_by_item[item.id] = batch_id
            return
        if suffix == END_SUFFIX:
            self._end(batch_id)
            return
        batch = self.by_id.get(batch_id)
        if batch is None:
            # Entries may arrive in any order, so an entry may come before its
            # submission.
            self._early_entries_by_batch.setdefault(batch_id, []).append(
                document
            )
            return
        batch.add_results(int(suffix), results_from_spec(document.spec))

    def _apply_name(self, batch_id: str, suffix: str) -> None:
        """Applies an entry of which a peer sent only the name."""
        if suffix == END_SUFFIX:
            self._end(batch_id)
        elif (
            batch_id not in self.by_id
            and batch_id not in self._ended_unread_ids
        ):
            self.unread_ids.add(batch_id)

    def _end(self, batch_id: str) -> None:
        self.unread_ids.discard(batch_id)
        batch = self.by_id.get(batch_id)
        if batch is None:
            self._ended_unread_ids.add(batch_id)
            return
        batch.end()
        self._notify(batch)

    def _remove(self, batch_id: str) -> None:
        self.unread_ids.discard(batch_id)
        self._ended_unread_ids.discard(batch_id)
        self._early_entries_by_batch.pop(batch_id, None)
        batch = self.by_id.pop(batch_id, None)
        if batch is None:
            return
        batch.end()
        self._notify(batch)
        for item_id in batch.items_by_id:
            if self._latest_batch_by_item.get(item_id) == batch_id:
                del self._latest_batch_by_item[item_id]

    def _notify(self, batch: Batch) -> None:
        for listener in self._listeners:
            listener(batch)


def _is_same_request(first: Item, second: Item) -> bool:
    return (first.target, first.headers, first.body) == (
        second.target,
        second.headers,
        second.body,
    )

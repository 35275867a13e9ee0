"""What callers do with batches: submit, read and end them."""

import itertools
from collections.abc import Callable
from typing import NamedTuple, Protocol

from absl import logging
from shallotstand.batches.book import Batch, BatchBook
from shallotstand.batches.log import BatchLog
from shallotstand.batches.records import (
    LOG_KIND,
    SUBMISSION_SUFFIX,
    Result,
    Submission,
    entry_name,
    results_to_spec,
    submission_to_spec,
)
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document

# A page of results is at most this large; the rest follows with the next read.
MAX_PAGE_BYTES = 900_000

# A position that was read at one process has to be readable at all within a
# second; the store is asked again after less than that.
CONFIRM_S = 0.6
# A batch that no peer runs is read from the store after this; nobody tells of
# its results.
UNTOLD_WAIT_S = 0.5


class Page(NamedTuple):
    """Results from some position on.

    Attributes:
      total: Items of the batch.
      results: Results in the order of their positions.
      next_position: Position behind the last of them.
    """

    total: int
    results: tuple[Result, ...]
    next_position: int


class BatchPeers(Protocol):
    """The other processes that run batches."""

    async def fetch(
        self, batch_id: str, knows_submission: bool, entries: int, wait_s: float
    ) -> tuple[Document, ...] | Failure:
        """Asks the peer that runs a batch for what is lacking of it.

        Args:
          batch_id: The batch.
          knows_submission: Whether the submission is known here.
          entries: Entries of results that are known here.
          wait_s: Seconds to wait for another one.

        Returns:
          The entries that follow, and the submission if it was lacking.

        Errors:
          LINK_LOST: No peer runs it, or that peer does not answer.
          STORE_UNAVAILABLE: The peer can't tell.
        """
        ...


class BatchService:
    """Callers' calls on batches, at any process."""

    def __init__(
        self,
        book: BatchBook,
        log: BatchLog,
        clock: Clock,
        runs_here: Callable[[str], bool] = lambda _: True,
        peers: BatchPeers | None = None,
    ):
        """Makes the service of a process.

        Args:
          book: The batches known here.
          log: Their log.
          clock: Source of time.
          runs_here: Says whether this process runs a batch.
          peers: The other processes; None if there are none.
        """
        self._book = book
        self._log = log
        self._clock = clock
        self._runs_here = runs_here
        self._peers = peers

    async def submit(
        self, submission: Submission, deadline: float
    ) -> Failure | None:
        """Accepts a batch; accepting it again changes nothing.

        Args:
          submission: The batch.
          deadline: Monotonic time in seconds by which to answer.

        Errors:
          STORE_UNAVAILABLE: Not accepted, and no part of it will run.
          OUTCOME_UNKNOWN: It may have been accepted.
          VALUE_TOO_LARGE: It is larger than the store takes.
          NOT_ALLOWED: The identifier belongs to another account's batch.
        """
        known = self._book.by_id.get(submission.id)
        if known is None:
            known = await self._log.add_submission(submission, deadline)
        failed = isinstance(known, Failure)
        logs.event(
            logging.INFO,
            "Batch refused" if failed else "Batch accepted",
            batch=submission.id,
            account=submission.account,
            items=len(submission.items),
            code=int(known.code) if failed else 0,
            reason=known.reason if failed else "",
        )
        if isinstance(known, Failure):
            return known
        return _check_account(known, submission.account)

    async def read(
        self, account: str, batch_id: str, position: int, wait_s: float
    ) -> Page | Failure:
        """Returns the results from a position on.

        Args:
          account: Client account of the caller.
          batch_id: The batch.
          position: Position of the first result.
          wait_s: Seconds to wait for one.

        Errors:
          BATCH_UNKNOWN: The account has no such batch.
          STORE_UNAVAILABLE: It can't be told now.
        """
        batch = await self._find(account, batch_id)
        if isinstance(batch, Failure):
            return batch
        if position >= len(batch.results) and not batch.is_complete:
            failure = await self._await_results(batch, wait_s)
            if failure is not None:
                return failure
        results = _page(batch.results[position:])
        return Page(len(batch.items_by_id), results, position + len(results))

    async def entries_for_peer(
        self, batch_id: str, knows_submission: bool, entries: int, wait_s: float
    ) -> tuple[Document, ...] | Failure:
        """Answers a peer's question; the arguments are those of `fetch`.

        Errors:
          BATCH_UNKNOWN: The batch is not known here.
          STORE_UNAVAILABLE: It can't be told now.
        """
        batch = self._book.by_id.get(batch_id)
        if batch is None:
            return Failure(ResultCode.BATCH_UNKNOWN, "Not known here.")
        if knows_submission and entries >= batch.entries:
            failure = await self._await_local_results(batch, wait_s)
            if failure is not None:
                return failure
        return _documents(batch, knows_submission, entries)

    async def load(self, batch_id: str) -> Batch | Failure:
        """Returns a batch; asks a peer or the store if it is not known here.

        Errors:
          BATCH_UNKNOWN: There is none.
          STORE_UNAVAILABLE: It can't be told now.
        """
        batch = self._book.by_id.get(batch_id)
        if batch is None and self._peers is not None:
            found = await self._peers.fetch(batch_id, False, 0, 0.0)
            batch = self._apply(batch_id, found)
        return batch or await self._log.read(batch_id)

    async def body(
        self, account: str, batch_id: str, item_id: str
    ) -> bytes | Failure:
        """Returns the body of an item that is not listed yet.

        Errors:
          BATCH_UNKNOWN, STORE_UNAVAILABLE: As for `read`.
          ITEM_UNKNOWN: There is no such item, or it is listed.
        """
        batch = await self._find(account, batch_id)
        if isinstance(batch, Failure):
            return batch
        item = batch.items_by_id.get(item_id)
        if item is None:
            return Failure(ResultCode.ITEM_UNKNOWN, "No such item.")
        return item.body

    async def end(
        self, account: str, batch_id: str, deadline: float
    ) -> Failure | None:
        """Ends a batch; ending it again changes nothing.

        Errors:
          BATCH_UNKNOWN, STORE_UNAVAILABLE: As for `read`.
          OUTCOME_UNKNOWN: The end may have been noted.
        """
        batch = await self._find(account, batch_id)
        if isinstance(batch, Failure):
            return batch
        failure = await self._log.add_end(batch, deadline)
        logs.event(
            logging.INFO,
            "Batch ended" if failure is None else "Batch not ended",
            batch=batch_id,
            listed=len(batch.listed),
            items=len(batch.items_by_id),
            reason=failure.reason if failure else "",
        )
        return failure

    async def _find(self, account: str, batch_id: str) -> Batch | Failure:
        batch = await self.load(batch_id)
        if isinstance(batch, Failure):
            return batch
        return _check_account(batch, account) or batch

    async def _await_results(
        self, batch: Batch, wait_s: float
    ) -> Failure | None:
        """Waits for results, and makes sure if there are none."""
        if self._runs_here(batch.id) or self._peers is None:
            return await self._await_local_results(batch, wait_s)
        before = batch.entries
        found = await self._peers.fetch(batch.id, True, before, wait_s)
        if not isinstance(found, Failure):
            self._apply(batch.id, found)
            return None
        if found.code == ResultCode.LINK_LOST:
            wait_s = min(wait_s, UNTOLD_WAIT_S)
        return await self._await_local_results(batch, wait_s)

    async def _await_local_results(
        self, batch: Batch, wait_s: float
    ) -> Failure | None:
        before = batch.entries
        if not batch.is_complete:
            await batch.wait_change(wait_s)
        age_s = self._clock.monotonic() - batch.confirmed_at
        if batch.entries > before or batch.is_complete or age_s <= CONFIRM_S:
            return None
        return await self._log.catch_up(batch)

    def _apply(
        self, batch_id: str, found: tuple[Document, ...] | Failure
    ) -> Batch | None:
        if not isinstance(found, Failure):
            for document in found:
                self._book.apply(document)
        return self._book.by_id.get(batch_id)


def _documents(
    batch: Batch, knows_submission: bool, entries: int
) -> tuple[Document, ...]:
    """Returns the entries of a batch that a peer lacks."""
    submission = (
        ()
        if knows_submission
        else ((SUBMISSION_SUFFIX, submission_to_spec(batch.submission)),)
    )
    results = (
        (str(number), results_to_spec(group))
        for number, group in enumerate(batch.groups[entries:], entries + 1)
    )
    return tuple(
        Document(LOG_KIND, entry_name(batch.id, suffix), 0, spec)
        for suffix, spec in itertools.chain(submission, results)
    )


def _check_account(batch: Batch, account: str) -> Failure | None:
    if batch.submission.account == account:
        return None
    return Failure(ResultCode.BATCH_UNKNOWN, "The account has no such batch.")


def _page(results: list[Result]) -> tuple[Result, ...]:
    size = 0
    page = []
    for result in results:
        size += len(result.text.encode()) + 200
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)

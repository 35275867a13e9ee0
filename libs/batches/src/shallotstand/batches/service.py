"""What callers do with batches: submit, read and end them."""

from typing import NamedTuple

from absl import logging
from shallotstand.batches.book import Batch, BatchBook
from shallotstand.batches.log import BatchLog
from shallotstand.batches.records import Result, Submission
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure

# A page of results is at most this large; the rest follows with the next read.
MAX_PAGE_BYTES = 900_000

# A position that was read at one process has to be readable at all within a
# second; the store is asked again after less than that.
CONFIRM_S = 0.6


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


class BatchService:
    """Callers' calls on batches, at any process."""

    def __init__(self, book: BatchBook, log: BatchLog, clock: Clock):
        self._book = book
        self._log = log
        self._clock = clock

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
            await batch.wait_change(wait_s)
        now = self._clock.monotonic()
        if (
            position >= len(batch.results)
            and not batch.is_complete
            and now - batch.confirmed_at > CONFIRM_S
        ):
            failure = await self._log.catch_up(batch)
            if failure is not None:
                return failure
        results = _page(batch.results[position:])
        return Page(len(batch.items_by_id), results, position + len(results))

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
        batch = self._book.by_id.get(batch_id)
        if batch is None:
            batch = await self._log.read(batch_id)
        if isinstance(batch, Failure):
            return batch
        return _check_account(batch, account) or batch


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

"""Reads and writes the batch log: submissions, results and ends."""

import asyncio
import itertools
from collections.abc import Sequence

import orjson
from absl import logging
from shallotstand.batches.records import (
    END_SUFFIX,
    MAX_ENTRY_BYTES,
    SUBMISSION_SUFFIX,
    Result,
    ResultsEntry,
    Submission,
    entry_kind,
    entry_name,
    results_to_spec,
    submission_to_spec,
)
from shallotstand.batches.registry import Batch, BatchRegistry
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document, DocumentStore

# Initial and maximum delay between attempts at a write that fails.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5


class BatchLog:
    """The batch log in the store."""

    def __init__(
        self, store: DocumentStore, batch_registry: BatchRegistry, clock: Clock
    ):
        self._store = store
        self._batch_registry = batch_registry
        self._clock = clock
        self._unconfirmed_ids: set[str] = set()

    def has_unconfirmed_submission(self, batch_id: str) -> bool:
        """Returns whether the outcome of a batch's submission is unknown.

        Only submissions by this process count.
        """
        return batch_id in self._unconfirmed_ids

    async def add_submission(
        self, submission: Submission, deadline: float
    ) -> Batch | Failure:
        """Stores a submission unless it is already stored; returns its batch.

        Args:
          submission: The batch.
          deadline: Monotonic time in seconds at which retries end.

        Errors:
          VALUE_TOO_LARGE: The submission does not fit into an entry.
          STORE_UNAVAILABLE: It was not stored and will not be stored later.
          OUTCOME_UNKNOWN: It may have been stored.
        """
        spec = submission_to_spec(submission)
        if len(orjson.dumps(spec)) > MAX_ENTRY_BYTES:
            return Failure(
                ResultCode.VALUE_TOO_LARGE,
                "The batch exceeds the size limit of a log entry.",
            )
        self._unconfirmed_ids.add(submission.id)
        failure = await self._create(
            submission.id, SUBMISSION_SUFFIX, spec, deadline
        )
        if failure is None or failure.code != ResultCode.OUTCOME_UNKNOWN:
            self._unconfirmed_ids.discard(submission.id)
        if failure is not None:
            return failure
        return self._batch_registry.by_id[submission.id]

    async def add_end(self, batch: Batch, deadline: float) -> Failure | None:
        """Stores the end of a batch; errors as for `add_submission`."""
        if batch.is_ended:
            return None
        return await self._create(
            batch.id, END_SUFFIX, {"ended_at": self._clock.wall()}, deadline
        )

    async def append(self, batch: Batch, results: Sequence[Result]) -> None:
        """Appends results; returns once all are listed or the batch has ended.

        A result is listed once a log entry contains it. Another process may
        append results to the same batch. If both create the entry with the next
        number, only one succeeds; the other process applies that entry and
        retries with the number after it.
        """
        retry_s = FIRST_RETRY_S
        pending = [
            result for result in results if result.id not in batch.listed_ids
        ]
        while pending and not batch.is_ended:
            entry = ResultsEntry(len(batch.results), _fit_in_entry(pending))
            outcome = await self._create_once(
                batch.id, str(batch.entry_count + 1), results_to_spec(entry)
            )
            if isinstance(outcome, Failure):
                logs.event(
                    logging.WARNING,
                    "Results wait for the store",
                    batch=batch.id,
                    results=len(pending),
                    code=int(outcome.code),
                    reason=outcome.reason,
                )
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
            pending = [
                result
                for result in pending
                if result.id not in batch.listed_ids
            ]

    async def read(self, batch_id: str) -> Batch | Failure:
        """Reads from the store a batch that is not in the registry.

        Errors:
          BATCH_UNKNOWN: The store has no such batch.
          STORE_UNAVAILABLE: The store could not be read.
        """
        document = await self._get(batch_id, SUBMISSION_SUFFIX)
        if isinstance(document, Failure):
            if document.code == ResultCode.OBJECT_NOT_FOUND:
                return Failure(ResultCode.BATCH_UNKNOWN, "No such batch.")
            return document
        self._batch_registry.apply(document)
        batch = self._batch_registry.by_id.get(batch_id)
        if batch is None:
            return Failure(
                ResultCode.STORE_UNAVAILABLE, "The submission can't be decoded."
            )
        failure = await self.catch_up(batch)
        return batch if failure is None else failure

    async def catch_up(self, batch: Batch) -> Failure | None:
        """Reads the results entries of a batch that are not applied yet."""
        started = self._clock.monotonic()
        while not batch.is_complete:
            document = await self._get(batch.id, str(batch.entry_count + 1))
            if isinstance(document, Failure):
                if document.code == ResultCode.OBJECT_NOT_FOUND:
                    batch.confirmed_at = started
                    return None
                return document
            self._batch_registry.apply(document)
        return None

    async def refresh(self, batch: Batch) -> Failure | None:
        """Reads whether a batch has ended and, if not, its new results.

        Errors:
          STORE_UNAVAILABLE: The store could not be read.
        """
        end = await self._get(batch.id, END_SUFFIX)
        if not isinstance(end, Failure):
            self._batch_registry.apply(end)
            return None
        if end.code != ResultCode.OBJECT_NOT_FOUND:
            return end
        return await self.catch_up(batch)

    async def remove(self, batch: Batch) -> Failure | None:
        """Removes all entries of a batch, the submission last."""
        suffixes = itertools.chain(
            (END_SUFFIX,),
            map(str, range(1, batch.entry_count + 1)),
            (SUBMISSION_SUFFIX,),
        )
        for suffix in suffixes:
            failure = await self._store.delete(
                entry_kind(suffix), entry_name(batch.id, suffix)
            )
            if failure is not None:
                return failure
        return None

    async def _get(self, batch_id: str, suffix: str) -> Document | Failure:
        return await self._store.get(
            entry_kind(suffix), entry_name(batch_id, suffix)
        )

    async def _create(
        self, batch_id: str, suffix: str, spec: dict, deadline: float
    ) -> Failure | None:
        retry_s = FIRST_RETRY_S
        is_outcome_unknown = False
        while True:
            outcome = await self._create_once(batch_id, suffix, spec)
            if outcome is None:
                return None
            if outcome.code == ResultCode.VALUE_TOO_LARGE:
                return outcome
            is_outcome_unknown |= outcome.code == ResultCode.OUTCOME_UNKNOWN
            if self._clock.monotonic() + retry_s >= deadline:
                break
            await asyncio.sleep(retry_s)
            retry_s = min(MAX_RETRY_S, retry_s * 2)
        if is_outcome_unknown:
            return Failure(ResultCode.OUTCOME_UNKNOWN, outcome.reason)
        return outcome

    async def _create_once(
        self, batch_id: str, suffix: str, spec: dict
    ) -> Failure | None:
        """Creates an entry, or applies the stored one if it already exists."""
        outcome = await self._store.create(
            entry_kind(suffix), entry_name(batch_id, suffix), spec
        )
        if isinstance(outcome, Failure) and (
            outcome.code == ResultCode.VERSION_CONFLICT
        ):
            outcome = await self._get(batch_id, suffix)
            if isinstance(outcome, Failure):
                # The entry exists; an earlier attempt may have created it.
                return Failure(ResultCode.OUTCOME_UNKNOWN, outcome.reason)
        if isinstance(outcome, Failure):
            return outcome
        # The store's response may omit the content.
        self._batch_registry.apply(_with_spec(outcome, spec))
        return None


def _with_spec(document: Document, spec: dict) -> Document:
    return (
        document if document.spec is not None else document._replace(spec=spec)
    )


def _fit_in_entry(results: Sequence[Result]) -> tuple[Result, ...]:
    """Returns the first results that fit into an entry, but at least one."""
    sizes = itertools.accumulate(
        len(orjson.dumps(result.text)) + 200 for result in results
    )
    fitting = [
        result
        for result, size in zip(results, sizes, strict=True)
        if size <= MAX_ENTRY_BYTES
    ]
    return tuple(fitting or results[:1])

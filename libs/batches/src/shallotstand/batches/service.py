"""Callers' operations on batches: submit, read and end them."""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging
from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.peer_reads import (
    Action,
    BatchPeerClient,
    BatchPeers,
    PeerRequest,
    ResultPage,
    RunningBatch,
    body_answer,
    entries_answer,
    page_answer,
)
from shallotstand.batches.progress import Progress
from shallotstand.batches.records import (
    BATCH_LOG_KIND,
    SUBMISSION_SUFFIX,
    Result,
    Submission,
    entry_name,
)
from shallotstand.batches.registry import Batch, BatchRegistry
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document

# A page of results is at most this large; the next read returns the rest.
MAX_PAGE_BYTES = 900_000
# A result that one process has returned must be readable from every process
# within 1 s, so a process reads the store again if its last read is older than
# this.
CONFIRMATION_MAX_AGE_S = 0.6
# Longest wait for a new result before the store is read if no peer answered the
# request; nothing notifies this process of new results then.
STORE_READ_WAIT_S = 0.5
# Time limit for ending a batch through a peer; leaves time to end it in this
# process if that fails.
PEER_END_TIMEOUT_S = 1.0


class BatchService:
    """Serves operations on any batch, even if another process runs it."""

    def __init__(
        self,
        batch_registry: BatchRegistry,
        log: BatchLog,
        clock: Clock,
        is_running_locally: Callable[[str], bool] = lambda _: True,
        peers: BatchPeers | None = None,
        process_id: str = "",
        take_texts: Callable[[RunningBatch], None] = lambda _: None,
    ):
        """Creates the service of a process.

        Args:
          batch_registry: The batches known to this process.
          log: The batch log.
          clock: Source of time.
          is_running_locally: Returns whether this process runs a batch.
          peers: The other processes; None if there are none.
          process_id: Identifier of this process.
          take_texts: Called with a batch that a peer has run and hands on.
        """
        self._take_texts = take_texts
        self._batch_registry = batch_registry
        self._log = log
        self._clock = clock
        self._is_running_locally = is_running_locally
        self._process_id = process_id
        self._hand_over_tasks: set[asyncio.Task] = set()
        self._peer_client = (
            None if peers is None else BatchPeerClient(batch_registry, peers)
        )

    async def submit(
        self, submission: Submission, deadline: float
    ) -> Failure | None:
        """Accepts a batch; submitting it again has no effect.

        Args:
          submission: The batch.
          deadline: Monotonic time in seconds by which to return.

        Errors:
          STORE_UNAVAILABLE: It was not accepted, and no part of it will run.
          OUTCOME_UNKNOWN: It may have been accepted.
          VALUE_TOO_LARGE: It exceeds the size limit of the store.
          BATCH_UNKNOWN: The identifier belongs to another account's batch.
        """
        batch = self._batch_registry.by_id.get(submission.id)
        if batch is None and await self._is_running_at_peer(submission):
            return None
        if batch is None:
            batch = await self._log.add_submission(submission, deadline)
        failed = isinstance(batch, Failure)
        logs.event(
            logging.INFO,
            "Batch refused" if failed else "Batch accepted",
            batch=submission.id,
            account=submission.account,
            items=len(submission.items),
            code=int(batch.code) if failed else 0,
            reason=batch.reason if failed else "",
        )
        if isinstance(batch, Failure):
            return batch
        self._start_hand_over(batch.submission)
        return _check_account(batch, submission.account)

    def is_known(self, batch_id: str) -> bool:
        """Returns whether this process has heard of the batch."""
        return self._batch_registry.is_known(batch_id)

    async def confirm_submission(
        self, account: str, batch_id: str, host: str, route_path: str
    ) -> bool | Failure:
        """Returns whether the same batch has been accepted before.

        Args:
          account: Client account of the caller.
          batch_id: Identifier of the batch.
          host: Host to which it is submitted.
          route_path: Path to which it is submitted.

        Errors:
          STORE_UNAVAILABLE: The store could not be read.
        """
        batch = await self.load(batch_id)
        if isinstance(batch, Failure):
            return False if batch.code == ResultCode.BATCH_UNKNOWN else batch
        submission = batch.submission
        if (account, host, route_path) != (
            submission.account,
            submission.host,
            submission.route_path,
        ):
            return False
        logs.event(
            logging.INFO,
            "Batch was accepted before",
            batch=batch_id,
            account=account,
        )
        self._start_hand_over(submission)
        return True

    def _start_hand_over(self, submission: Submission) -> None:
        """Hands a batch over to its owner in the background.

        If the hand-over fails, a peer detects that no process runs the batch.
        """
        if self._peer_client is None or submission.owner == self._process_id:
            return
        task = asyncio.create_task(self._hand_over(submission))
        self._hand_over_tasks.add(task)
        task.add_done_callback(self._hand_over_tasks.discard)

    async def _hand_over(self, submission: Submission) -> None:
        failure = await self._peer_client.hand_over(submission)
        logs.event(
            logging.INFO,
            "Batch handed over" if failure is None else "Batch not handed over",
            batch=submission.id,
            owner=submission.owner,
            reason=failure.reason if failure else "",
        )

    async def read_results(
        self, account: str, batch_id: str, position: int, wait_s: float
    ) -> ResultPage | Failure:
        """Returns the results starting at a position.

        Args:
          account: Client account of the caller.
          batch_id: Identifier of the batch.
          position: Position of the first result.
          wait_s: Seconds to wait for that result.

        Errors:
          BATCH_UNKNOWN: The account has no such batch.
          STORE_UNAVAILABLE: The store could not be read.
        """
        if self._should_ask_peer(batch_id):
            page = await self._peer_client.fetch_page(
                account, batch_id, position, wait_s
            )
            if not isinstance(page, Failure):
                return page
            _log_peer_failure(batch_id, Action.PAGE, page)
            # No peer notifies this process of new results.
            wait_s = min(wait_s, STORE_READ_WAIT_S)
        batch = await self._find_batch(account, batch_id)
        if isinstance(batch, Failure):
            return batch
        return await self._read_page(batch, position, wait_s)

    async def handle_peer_request(
        self, batch_id: str, request: PeerRequest
    ) -> Any:
        """Answers a request from another process about a batch.

        Errors:
          BATCH_UNKNOWN: This process does not know the batch, or it belongs to
            another account.
          Others: As for `read_results`, `read_item_body` or `end`.
        """
        if request["action"] == Action.RUN:
            self._receive_batch(batch_id, request)
        batch = self._batch_registry.by_id.get(batch_id)
        if batch is None:
            return Failure(
                ResultCode.BATCH_UNKNOWN, "The process does not know the batch."
            )
        if request["action"] == Action.ENTRIES:
            return entries_answer(batch)
        failure = _check_account(batch, request["account"])
        if failure is not None:
            return failure
        return await self._answer_peer_request(batch, request)

    def _receive_batch(self, batch_id: str, request: PeerRequest) -> None:
        """Takes a batch that a peer hands over.

        The texts are taken before the batch starts to run here.
        """
        name = entry_name(batch_id, SUBMISSION_SUFFIX)
        for entry, spec in (
            (name, request["submission"]),
            *request.get("entries", ()),
        ):
            self._batch_registry.apply(Document(BATCH_LOG_KIND, entry, 0, spec))
        batch = self._batch_registry.by_id.get(batch_id)
        if batch is None or "progress" not in request:
            return
        self._take_texts(
            RunningBatch(
                batch,
                {
                    item_id: Progress.from_record(record)
                    for item_id, record in request["progress"].items()
                },
            )
        )
        self._batch_registry.assign(batch_id, self._process_id)

    async def hand_on(self, running: RunningBatch, process_id: str) -> None:
        """Hands a batch on to a peer, since this process stops.

        If that fails, a peer detects that no process runs the batch.
        """
        if self._peer_client is None:
            return
        failure = await self._peer_client.hand_on(running, process_id)
        logs.event(
            logging.INFO,
            "Running batch handed on"
            if failure is None
            else "Running batch not handed on",
            batch=running.batch.id,
            to=process_id,
            texts=len(running.progress_by_item),
            listed=len(running.batch.listed_ids),
            reason=failure.reason if failure else "",
        )

    async def _answer_peer_request(
        self, batch: Batch, request: PeerRequest
    ) -> Any:
        action, wait_s = request["action"], request["wait_s"]
        if action == Action.END:
            failure = await self._end(batch, self._clock.monotonic() + wait_s)
            return failure or {}
        if action == Action.BODY:
            body = _item_body(batch, request["item"])
            return body if isinstance(body, Failure) else body_answer(body)
        if action != Action.PAGE:
            return {}
        position = request["position"]
        page = await self._read_page(batch, position, wait_s)
        return (
            page if isinstance(page, Failure) else page_answer(position, page)
        )

    async def load(self, batch_id: str) -> Batch | Failure:
        """Returns a batch, read from a peer or the store if necessary.

        Errors:
          BATCH_UNKNOWN: The store has no such batch.
          STORE_UNAVAILABLE: The store could not be read.
        """
        batch = self._batch_registry.by_id.get(batch_id)
        if batch is None and self._peer_client is not None:
            batch = await self._peer_client.fetch_batch(batch_id)
        return batch or await self._log.read(batch_id)

    async def read_item_body(
        self, account: str, batch_id: str, item_id: str
    ) -> bytes | Failure:
        """Returns the body of an item.

        Errors:
          BATCH_UNKNOWN, STORE_UNAVAILABLE: As for `read_results`.
          ITEM_UNKNOWN: The batch has no such item.
        """
        if self._should_ask_peer(batch_id):
            body = await self._peer_client.fetch_item_body(
                account, batch_id, item_id
            )
            if not isinstance(body, Failure):
                return body
            _log_peer_failure(batch_id, Action.BODY, body)
        batch = await self._find_batch(account, batch_id)
        return (
            batch if isinstance(batch, Failure) else _item_body(batch, item_id)
        )

    async def end(
        self, account: str, batch_id: str, deadline: float
    ) -> Failure | None:
        """Ends a batch; ending it again has no effect.

        Errors:
          BATCH_UNKNOWN, STORE_UNAVAILABLE: As for `read_results`.
          OUTCOME_UNKNOWN: The end may have been stored.
        """
        if self._should_ask_peer(batch_id):
            left_s = max(0.0, deadline - self._clock.monotonic())
            failure = await self._peer_client.end_batch(
                account, batch_id, min(PEER_END_TIMEOUT_S, left_s)
            )
            if failure is None:
                return None
            _log_peer_failure(batch_id, Action.END, failure)
        batch = await self._find_batch(account, batch_id)
        if isinstance(batch, Failure):
            return batch
        return await self._end(batch, deadline)

    async def _end(self, batch: Batch, deadline: float) -> Failure | None:
        failure = await self._log.add_end(batch, deadline)
        logs.event(
            logging.INFO,
            "Batch ended" if failure is None else "Batch not ended",
            batch=batch.id,
            listed=len(batch.listed_ids),
            items=len(batch.items_by_id),
            reason=failure.reason if failure else "",
        )
        return failure

    async def _find_batch(self, account: str, batch_id: str) -> Batch | Failure:
        batch = self._batch_registry.by_id.get(batch_id)
        if batch is None:
            batch = await self._log.read(batch_id)
        if isinstance(batch, Failure):
            return batch
        return _check_account(batch, account) or batch

    async def _is_running_at_peer(self, submission: Submission) -> bool:
        """Returns whether a peer already runs the batch."""
        if not self._should_ask_peer(submission.id):
            return False
        failure = await self._peer_client.check_batch(
            submission.account, submission.id
        )
        return failure is None

    async def _read_page(
        self, batch: Batch, position: int, wait_s: float
    ) -> ResultPage | Failure:
        """Waits for the first result of a page; returns the page."""
        failure = await self._wait_for_result(batch, position, wait_s)
        if failure is not None:
            return failure
        results = _fit_in_page(batch.results[position:])
        return ResultPage(
            len(batch.items_by_id), results, position + len(results)
        )

    def _should_ask_peer(self, batch_id: str) -> bool:
        """Returns whether to ask a peer before reading the store."""
        if self._peer_client is None or self._is_running_locally(batch_id):
            return False
        batch = self._batch_registry.by_id.get(batch_id)
        return batch is None or not batch.is_complete

    async def _wait_for_result(
        self, batch: Batch, position: int, wait_s: float
    ) -> Failure | None:
        """Waits for the result at a position.

        Reads the store if the result is missing and the last read is too old.
        """
        if position < len(batch.results) or batch.is_complete:
            return None
        await batch.wait_for_change(wait_s)
        if position < len(batch.results) or batch.is_complete:
            return None
        if (
            self._clock.monotonic() - batch.confirmed_at
            <= CONFIRMATION_MAX_AGE_S
        ):
            return None
        return await self._log.catch_up(batch)


def _item_body(batch: Batch, item_id: str) -> bytes | Failure:
    item = batch.items_by_id.get(item_id)
    if item is None:
        return Failure(ResultCode.ITEM_UNKNOWN, "The batch has no such item.")
    return item.body


def _log_peer_failure(batch_id: str, action: Action, failure: Failure) -> None:
    logs.event(
        logging.INFO,
        "No answer from the process that runs a batch; asking the store",
        batch=batch_id,
        action=action.value,
        code=int(failure.code),
        reason=failure.reason,
    )


def _check_account(batch: Batch, account: str) -> Failure | None:
    if batch.submission.account == account:
        return None
    return Failure(ResultCode.BATCH_UNKNOWN, "The account has no such batch.")


def _fit_in_page(results: list[Result]) -> tuple[Result, ...]:
    size = 0
    page = []
    for result in results:
        size += len(result.text.encode()) + 200
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)

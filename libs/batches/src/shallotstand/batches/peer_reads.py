"""Requests between processes about batches."""

import base64
import enum
from typing import Any, NamedTuple, NotRequired, Protocol, TypedDict

from shallotstand.batches.progress import Progress, ProgressRecord
from shallotstand.batches.records import (
    BATCH_LOG_KIND,
    END_SUFFIX,
    SUBMISSION_SUFFIX,
    Result,
    ResultsEntry,
    Submission,
    entry_name,
    results_from_spec,
    results_to_spec,
    submission_to_spec,
)
from shallotstand.batches.registry import Batch, BatchRegistry
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document


class ResultPage(NamedTuple):
    """Consecutive results of a batch.

    Attributes:
      total: Number of items in the batch.
      results: Results in the order of their positions.
      next_position: Position after the last of these results.
    """

    total: int
    results: tuple[Result, ...]
    next_position: int


class RunningBatch(NamedTuple):
    """A batch that has run, with what it has generated.

    Attributes:
      batch: The batch with the results that are listed.
      progress_by_item: Texts of items without a listed result.
    """

    batch: Batch
    progress_by_item: dict[str, Progress]


class Action(enum.StrEnum):
    """What one process requests from another about a batch.

    PAGE reads results. BODY reads the body of an item. CHECK checks that the
    batch belongs to the account. END ends the batch. ENTRIES reads its
    submission, results and end, so that another process can take the batch
    over. RUN hands a batch over to the process that is to run it, also while it
    runs: a process that stops hands its batches on.
    """

    PAGE = "page"
    BODY = "body"
    CHECK = "check"
    END = "end"
    ENTRIES = "entries"
    RUN = "run"


class PeerRequest(TypedDict):
    """A request about a batch to another process.

    `account` is the caller's client account; empty with ENTRIES. `wait_s` is
    the time in seconds to wait for the first result (PAGE) or to store the end
    (END), otherwise 0. `position` is the first position of a page, otherwise 0.
    `item` is the item whose body is requested, otherwise empty. With RUN only,
    `submission` is present, and if the batch has run already, `entries` with
    its results and its end, if any, and `progress` with the texts of unfinished
    items, by item.
    """

    action: Action
    account: str
    item: str
    position: int
    wait_s: float
    submission: NotRequired[dict[str, Any]]
    entries: NotRequired[list[tuple[str, Any]]]
    progress: NotRequired[dict[str, ProgressRecord]]


class BatchPeers(Protocol):
    """The other processes that run batches."""

    async def request_from_runner(
        self, batch_id: str, request: PeerRequest, wait_s: float
    ) -> Any | Failure:
        """Sends a request to the process that runs a batch.

        Args:
          batch_id: Identifier of the batch.
          request: The request.
          wait_s: Seconds for which the peer may wait before it answers.

        Errors:
          LINK_LOST: No connected peer claims the batch, or the peer does not
            answer in time.
          Others: The failure that the peer returned.
        """
        ...

    async def request_from_process(
        self, process_id: str, batch_id: str, request: PeerRequest
    ) -> Any | Failure:
        """Sends a request to a process.

        Errors:
          LINK_LOST: The process is not connected or does not answer in time.
          Others: The failure that the process returned.
        """
        ...


class BatchPeerClient:
    """Reads, ends and hands over batches through the processes that run them.

    This saves calls to the store.
    """

    def __init__(self, batch_registry: BatchRegistry, peers: BatchPeers):
        self._batch_registry = batch_registry
        self._peers = peers

    async def fetch_page(
        self, account: str, batch_id: str, position: int, wait_s: float
    ) -> ResultPage | Failure:
        """Returns results; errors as for `request_from_runner`."""
        answer = await self._request(
            batch_id, Action.PAGE, account, wait_s, position=position
        )
        if isinstance(answer, Failure):
            return answer
        results = results_from_spec(answer["results"]).results
        return ResultPage(answer["total"], results, position + len(results))

    async def fetch_item_body(
        self, account: str, batch_id: str, item_id: str
    ) -> bytes | Failure:
        """Returns the body of an item; errors as for `request_from_runner`."""
        answer = await self._request(
            batch_id, Action.BODY, account, item=item_id
        )
        if isinstance(answer, Failure):
            return answer
        return base64.b64decode(answer["body"])

    async def check_batch(self, account: str, batch_id: str) -> Failure | None:
        """Checks that a peer runs the batch and that the account owns it."""
        answer = await self._request(batch_id, Action.CHECK, account)
        return answer if isinstance(answer, Failure) else None

    async def end_batch(
        self, account: str, batch_id: str, timeout_s: float
    ) -> Failure | None:
        """Asks the peer that runs a batch to end it."""
        answer = await self._request(batch_id, Action.END, account, timeout_s)
        return answer if isinstance(answer, Failure) else None

    async def hand_over(self, submission: Submission) -> Failure | None:
        """Hands a new batch over to the process that is to run it."""
        return await self._send_run(submission)

    async def hand_on(
        self, running: RunningBatch, process_id: str
    ) -> Failure | None:
        """Hands a batch on that has run here.

        Args:
          running: The batch and its texts.
          process_id: Identifier of the process that is to run it.
        """
        batch = running.batch
        return await self._send_run(
            batch.submission._replace(owner=process_id),
            entries=[*_end_entries(batch), *_results_entries(batch)],
            progress={
                item_id: progress.to_record()
                for item_id, progress in running.progress_by_item.items()
            },
        )

    async def _send_run(
        self, submission: Submission, **texts: Any
    ) -> Failure | None:
        answer = await self._peers.request_from_process(
            submission.owner,
            submission.id,
            PeerRequest(
                action=Action.RUN,
                account=submission.account,
                item="",
                position=0,
                wait_s=0.0,
                submission=submission_to_spec(submission),
                **texts,
            ),
        )
        return answer if isinstance(answer, Failure) else None

    async def fetch_batch(self, batch_id: str) -> Batch | None:
        """Fetches a batch with its submission and results.

        Returns None if the batch could not be fetched from a peer.
        """
        answer = await self._request(batch_id, Action.ENTRIES, "")
        if not isinstance(answer, Failure):
            for name, spec in answer["entries"]:
                self._batch_registry.apply(
                    Document(BATCH_LOG_KIND, name, 0, spec)
                )
        return self._batch_registry.by_id.get(batch_id)

    async def _request(
        self,
        batch_id: str,
        action: Action,
        account: str,
        wait_s: float = 0.0,
        item: str = "",
        position: int = 0,
    ) -> Any | Failure:
        return await self._peers.request_from_runner(
            batch_id,
            PeerRequest(
                action=action,
                account=account,
                item=item,
                position=position,
                wait_s=wait_s,
            ),
            wait_s,
        )


def page_answer(position: int, page: ResultPage) -> dict[str, Any]:
    """Encodes the answer to a PAGE request."""
    return {
        "total": page.total,
        "results": results_to_spec(ResultsEntry(position, page.results)),
    }


def body_answer(body: bytes) -> dict[str, Any]:
    """Encodes the answer to a BODY request."""
    return {"body": base64.b64encode(body).decode("ascii")}


def entries_answer(batch: Batch) -> dict[str, Any]:
    """Encodes the answer to an ENTRIES request.

    The end comes first, so that the receiver does not start an ended batch.
    """
    submission = (
        entry_name(batch.id, SUBMISSION_SUFFIX),
        submission_to_spec(batch.submission),
    )
    return {
        "entries": [
            *_end_entries(batch),
            submission,
            *_results_entries(batch),
        ]
    }


def _end_entries(batch: Batch) -> list[tuple[str, Any]]:
    return [(entry_name(batch.id, END_SUFFIX), {})] if batch.is_ended else []


def _results_entries(batch: Batch) -> list[tuple[str, Any]]:
    return [
        (entry_name(batch.id, number), results_to_spec(entry))
        for number, entry in enumerate(batch.results_entries, 1)
    ]

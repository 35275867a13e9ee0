"""Checkpoints of unfinished items, from which other processes resume them."""

import asyncio
import itertools

from absl import logging
from shallotstand.batches.progress import Progress, ProgressRecord
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import (
    MALFORMED_CONTENT,
    Document,
    DocumentStore,
)
from shallotstand.documents.single_writer_document import SingleWriterDocument

PROGRESS_KIND = "batch-progress"
# Text that is newer than the last checkpoint is lost in a crash and is
# generated again.
CHECKPOINT_INTERVAL_S = 0.8
# Shorter texts are not checkpointed: generating them again takes no longer than
# reading them back.
MIN_CHECKPOINT_EVENTS = 5
# One document holds all texts of a process; the longest are kept if they do
# not all fit.
MAX_DOCUMENT_BYTES = 900_000


class Checkpoints:
    """Texts of unfinished items in the store.

    Writes those of this process; reads those of all processes.
    """

    def __init__(self, store: DocumentStore, instance: str):
        """Creates the checkpoints of a process.

        Args:
          store: The store.
          instance: Name of the instance that the process runs on; the document
            written by earlier processes of the instance is reused.
        """
        self._store = store
        self._document = SingleWriterDocument(store, PROGRESS_KIND, instance)
        self._progress_by_key: dict[str, Progress] = {}
        self._written_event_count = 0
        self._is_stopped = False

    def track(self, key: str, progress: Progress) -> None:
        """Includes a text in the checkpoints, under its `text_key`."""
        self._progress_by_key[key] = progress

    def untrack(self, key: str) -> None:
        """Excludes a text from later checkpoints."""
        self._progress_by_key.pop(key, None)

    async def run(self) -> None:
        """Writes checkpoints until cancelled or `write_final` is called."""
        while True:
            await asyncio.sleep(CHECKPOINT_INTERVAL_S)
            if self._is_stopped:
                return
            event_count = sum(
                len(progress.events)
                for progress in self._progress_by_key.values()
            )
            if event_count == self._written_event_count:
                continue
            failure = await self._document.write(self._records())
            if failure is None:
                self._written_event_count = event_count
            else:
                logs.event(
                    logging.INFO,
                    "Checkpoint waits for the store",
                    code=int(failure.code),
                    reason=failure.reason,
                )

    async def write_final(self, timeout_s: float) -> None:
        """Writes the final checkpoint, from which other processes resume.

        Args:
          timeout_s: Seconds that the write may take.
        """
        self._is_stopped = True
        records = self._records()
        failure: Failure | None = None
        try:
            async with asyncio.timeout(timeout_s):
                failure = await self._document.write(records)
        except TimeoutError:
            failure = Failure(
                ResultCode.OUTCOME_UNKNOWN, "The store did not answer in time."
            )
        logs.event(
            logging.INFO,
            "Last checkpoint",
            texts=len(records),
            code=int(failure.code) if failure else 0,
        )

    async def load(self) -> dict[str, Progress] | Failure:
        """Returns the longest checkpointed texts, by `text_key`."""
        listing = await self._store.list(PROGRESS_KIND)
        if isinstance(listing, Failure):
            return listing
        longest: dict[str, Progress] = {}
        for key, progress in itertools.chain.from_iterable(
            map(_parse_document, listing.documents)
        ):
            known = longest.get(key)
            if known is None or len(known.events) < len(progress.events):
                longest[key] = progress
        return longest

    def _records(self) -> dict[str, ProgressRecord]:
        """Returns as many texts as fit into the document, longest first."""
        records: dict[str, ProgressRecord] = {}
        size = 0
        longest_first = sorted(
            self._progress_by_key.items(),
            key=lambda entry: -len(entry[1].events),
        )
        for key, progress in longest_first:
            if len(progress.events) < MIN_CHECKPOINT_EVENTS:
                break
            size += sum(len(event) + 8 for event in progress.events) + 100
            if size > MAX_DOCUMENT_BYTES:
                break
            records[key] = progress.to_record()
        return records


def _parse_document(document: Document) -> list[tuple[str, Progress]]:
    """Returns the texts in a checkpoint by key; none if it can't be read."""
    try:
        return [
            (key, Progress.from_record(record))
            for key, record in document.spec.items()
        ]
    except MALFORMED_CONTENT as error:
        logs.event(
            logging.ERROR,
            "Checkpoint can't be read",
            name=document.name,
            revision=document.revision,
            error=repr(error),
        )
        return []

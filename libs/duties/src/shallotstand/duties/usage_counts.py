"""Stores each process's request counts for the usage report."""

import asyncio
from typing import TypedDict

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.dispatch.usage import UsageMeter
from shallotstand.documents.protocols import (
    MALFORMED_CONTENT,
    Document,
    DocumentStore,
)
from shallotstand.documents.single_writer_document import SingleWriterDocument

COUNTS_KIND = "usage-counts"
# Counts of a window are written this long after its end, so that they include
# requests that began in the window and ended shortly after it.
WRITE_DELAY_S = 1.2
RETRY_INTERVAL_S = 0.4


class CountsRecord(TypedDict):
    """Content of the document with a process's counts.

    `closed_window` is the newest complete window; `windows` maps the window
    number, as a string, to counts by client account; `has_stopped` is true if
    the process will write no more counts, `is_idle` if it will write none until
    it has announced itself again.
    """

    closed_window: int
    windows: dict[str, dict[str, int]]
    has_stopped: bool
    is_idle: bool


class UsageWriter:
    """Writes a process's counts to the store once per window with requests."""

    def __init__(
        self,
        store: DocumentStore,
        meter: UsageMeter,
        process_id: str,
        clock: Clock,
    ):
        self._document = SingleWriterDocument(store, COUNTS_KIND, process_id)
        self._meter = meter
        self._clock = clock
        self._has_counted = asyncio.Event()
        meter.subscribe(self._has_counted.set)

    async def run(self) -> None:
        """Writes the counts of windows with requests until cancelled."""
        while True:
            await self._has_counted.wait()
            failure = await self.announce()
            if failure is not None:
                _log_failure("Usage counts not announced", failure)
            while not await self._write_next_window():
                pass

    async def _write_next_window(self) -> bool:
        """Writes the counts of the current window once it has ended.

        Returns:
          Whether the process is idle: it has counted no requests meanwhile.
        """
        self._has_counted.clear()
        window = self._meter.current_window()
        due_at = self._meter.window_end_s(window) + WRITE_DELAY_S
        await asyncio.sleep(max(0.0, due_at - self._clock.wall()))
        while True:
            is_idle = not (
                self._has_counted.is_set()
                or window in self._meter.counts_by_window
            )
            failure = await self.write(window, is_idle=is_idle)
            if failure is None:
                return is_idle
            _log_failure("Usage counts wait for the store", failure)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def announce(self) -> Failure | None:
        """Registers this process, so that reports wait for its counts.

        Errors:
          The same as for `write`.
        """
        return await self.write(self._meter.current_window() - 1)

    async def write(
        self, window: int, has_stopped: bool = False, is_idle: bool = False
    ) -> Failure | None:
        """Writes the counts of the windows up to and including `window`.

        Errors:
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN, VERSION_CONFLICT: The write may
            be retried.
        """
        record = CountsRecord(
            closed_window=window,
            windows={
                str(number): dict(counts)
                for number, counts in self._meter.counts_by_window.items()
                if number <= window
            },
            has_stopped=has_stopped,
            is_idle=is_idle,
        )
        return await self._document.write(record)


def parse_counts(document: Document) -> CountsRecord | None:
    """Returns the counts in a document; None if it can't be read."""
    spec = document.spec
    try:
        return CountsRecord(
            closed_window=int(spec["closed_window"]),
            windows={
                str(int(window)): {
                    str(account): int(count)
                    for account, count in counts.items()
                }
                for window, counts in spec["windows"].items()
            },
            has_stopped=bool(spec["has_stopped"]),
            # Earlier versions of this program wrote in each window.
            is_idle=bool(spec.get("is_idle")),
        )
    except MALFORMED_CONTENT as error:
        logs.event(
            logging.ERROR,
            "Usage counts can't be read",
            name=document.name,
            revision=document.revision,
            error=repr(error),
        )
        return None


def _log_failure(message: str, failure: Failure) -> None:
    logs.event(
        logging.WARNING,
        message,
        code=int(failure.code),
        reason=failure.reason,
    )

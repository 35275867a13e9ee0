"""Usage reports, one for each window; stored before they are sent."""

import asyncio
import collections
import itertools
from typing import Protocol, TypedDict

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document, DocumentStore
from shallotstand.duties.lease import DutyLease
from shallotstand.duties.usage_counts import (
    COUNTS_KIND,
    CountsRecord,
    parse_counts,
)

LEDGER_KIND = "usage-ledger"
LEDGER_NAME = "main"
# A report is created this long after the end of its window if the counts of all
# processes are available.
REPORT_DELAY_S = 1.6
# A report is created this long after the end of its window even if counts are
# missing.
MAX_REPORT_DELAY_S = 6.5
POLL_INTERVAL_S = 0.5
# Number of windows whose reports are retained in the ledger.
LEDGER_WINDOWS = 24
# Number of newest reports that a new lease holder sends again, since the
# previous holder may not have sent them.
RESENT_WINDOWS = 3
# The counts of a process that has written none for this many windows are
# deleted.
COUNTS_RETENTION_WINDOWS = 30


class Ledger(TypedDict):
    """Content of the ledger, the document that stores the newest reports.

    `reports` maps the window number, as a string, to counts by client account.
    """

    reports: dict[str, dict[str, int]]


class UsageSink(Protocol):
    """The receiver of usage reports."""

    async def send_report(
        self,
        window: int,
        counts: dict[str, int],
        fencing_token: int,
        budget_s: float,
    ) -> Failure | None:
        """Sends a report, which must not arrive after `budget_s` seconds.

        Errors:
          STALE_EPOCH: The receiver has seen a higher fencing token.
          OUTCOME_UNKNOWN: No response; the report may have arrived.
        """
        ...


class UsageReporter:
    """Creates and sends the reports while this process holds the lease."""

    def __init__(
        self,
        store: DocumentStore,
        sink: UsageSink,
        lease: DutyLease,
        window_s: float,
        clock: Clock,
    ):
        self._store = store
        self._sink = sink
        self._lease = lease
        self._window_s = window_s
        self._clock = clock
        self._ledger: Document | None = None
        self._fencing_token = 0
        self._unsent_reports: dict[int, dict[str, int]] = {}

    async def run(self) -> None:
        """Creates and sends reports until cancelled."""
        while True:
            if self._lease.is_held:
                failure = await self.step()
                if failure is not None:
                    logs.event(
                        logging.WARNING,
                        "Usage report waits",
                        code=int(failure.code),
                        reason=failure.reason,
                    )
            else:
                self._ledger = None
            await asyncio.sleep(POLL_INTERVAL_S)

    async def step(self) -> Failure | None:
        """Creates and sends the reports that are due.

        `run` calls this method at intervals while this process holds the lease.

        Errors:
          LEASE_LAPSED, STALE_EPOCH: This process no longer holds the lease.
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN, VERSION_CONFLICT: The next step
            tries again.
        """
        if (
            self._ledger is None
            or self._fencing_token != self._lease.fencing_token
        ):
            failure = await self._load_ledger()
            if failure is not None:
                return failure
        failure = await self._send_unsent_reports()
        if failure is not None:
            return failure
        reports = self._ledger.spec["reports"]
        window = max(map(int, reports)) + 1
        age_s = self._clock.wall() - (window + 1) * self._window_s
        if age_s < REPORT_DELAY_S:
            return None
        return await self._create_report(window, age_s)

    async def _load_ledger(self) -> Failure | None:
        """Reads the ledger and queues its newest reports to be sent again."""
        ledger = await self._store.get(LEDGER_KIND, LEDGER_NAME)
        if isinstance(ledger, Failure):
            if ledger.code != ResultCode.OBJECT_NOT_FOUND:
                return ledger
            ledger = await self._create_ledger()
            if isinstance(ledger, Failure):
                return ledger
        self._ledger, self._fencing_token = ledger, self._lease.fencing_token
        reports = ledger.spec["reports"]
        recent = sorted(map(int, reports))[-RESENT_WINDOWS:]
        self._unsent_reports = {
            window: reports[str(window)] for window in recent
        }
        return None

    async def _create_ledger(self) -> Document | Failure:
        """Creates the ledger; reporting starts with the oldest counts.

        Gateways may have served requests before a process held the lease for
        the first time.
        """
        listing = await self._store.list(COUNTS_KIND)
        if isinstance(listing, Failure):
            return listing
        # Counts of windows that ended after this time may still arrive.
        settled_at = self._clock.wall() - MAX_REPORT_DELAY_S
        last_settled_window = int(settled_at // self._window_s) - 1
        counted_windows = itertools.chain.from_iterable(
            record["windows"]
            for record in _records_by_name(listing.documents).values()
        )
        last_empty_window = min(
            (int(window) - 1 for window in counted_windows),
            default=last_settled_window,
        )
        last_empty_window = min(last_empty_window, last_settled_window)
        return await self._store.create(
            LEDGER_KIND,
            LEDGER_NAME,
            Ledger(reports={str(last_empty_window): {}}),
        )

    async def _create_report(self, window: int, age_s: float) -> Failure | None:
        listing = await self._store.list(COUNTS_KIND)
        if isinstance(listing, Failure):
            return listing
        records_by_name = _records_by_name(listing.documents)
        records = records_by_name.values()
        missing = sum(_is_missing(record, window) for record in records)
        if missing and age_s < MAX_REPORT_DELAY_S:
            return None
        totals = collections.Counter()
        for record in records:
            totals.update(record["windows"].get(str(window), {}))
        failure = await self._store_report(window, dict(totals))
        if failure is not None:
            return failure
        logs.event(
            logging.INFO,
            "Usage report frozen",
            window=window,
            accounts=len(totals),
            requests=sum(totals.values()),
            processes=len(records),
            missing=missing,
            age_s=round(age_s, 3),
        )
        await self._delete_stale_counts(records_by_name, window)
        return await self._send_unsent_reports()

    async def _store_report(
        self, window: int, counts: dict[str, int]
    ) -> Failure | None:
        """Adds a report to the ledger; its counts don't change afterwards."""
        reports = {**self._ledger.spec["reports"], str(window): counts}
        retained = sorted(reports, key=int)[-LEDGER_WINDOWS:]
        outcome = await self._store.replace(
            LEDGER_KIND,
            LEDGER_NAME,
            Ledger(reports={name: reports[name] for name in retained}),
            self._ledger.revision,
        )
        if isinstance(outcome, Failure):
            self._ledger = None
            return outcome
        self._ledger = outcome
        self._unsent_reports[window] = counts
        return None

    async def _send_unsent_reports(self) -> Failure | None:
        for window, counts in sorted(self._unsent_reports.items()):
            # Reading the ledger takes time, in which the lease may have
            # expired and been acquired again.
            budget_s = self._lease.call_budget_s
            if (
                budget_s <= 0
                or self._fencing_token != self._lease.fencing_token
            ):
                return Failure(
                    ResultCode.LEASE_LAPSED, "The duty lease has expired."
                )
            failure = await self._sink.send_report(
                window, counts, self._fencing_token, budget_s
            )
            if failure is not None:
                if failure.code == ResultCode.STALE_EPOCH:
                    self._lease.step_down(failure.reason)
                return failure
            del self._unsent_reports[window]
            logs.event(
                logging.INFO,
                "Usage report sent",
                window=window,
                fence=self._fencing_token,
                requests=sum(counts.values()),
            )
        return None

    async def _delete_stale_counts(
        self, records_by_name: dict[str, CountsRecord], window: int
    ) -> None:
        for name, record in records_by_name.items():
            if record["closed_window"] < window - COUNTS_RETENTION_WINDOWS:
                await self._store.delete(COUNTS_KIND, name)


def _records_by_name(
    documents: tuple[Document, ...],
) -> dict[str, CountsRecord]:
    parsed_by_name = {
        document.name: parse_counts(document) for document in documents
    }
    return {
        name: record
        for name, record in parsed_by_name.items()
        if record is not None
    }


def _is_missing(record: CountsRecord, window: int) -> bool:
    """Returns whether a running process has not written the window's counts.

    A process counts as running if it has written those of the previous window.
    """
    if record["has_stopped"] or record["is_idle"]:
        return False
    return record["closed_window"] == window - 1

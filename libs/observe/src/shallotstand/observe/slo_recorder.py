"""Counts good and bad requests by minute and saves the counts in the store.

Each incarnation of an entry has one object per hour,
`slo/<hour>/<process>/<incarnation>`, which it writes at most once a minute.
Nothing else writes the object, so a version conflict means that an earlier
write of the same incarnation succeeded but its response was lost.
"""

from typing import TypedDict

import orjson
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.observe.burn import (
    HOUR_S,
    MINUTE_S,
    MinuteCounts,
    RequestCounts,
    Subject,
)
from shallotstand.platform.protocols import ObjectStore, StoredObject

SLO_KEY_PREFIX = "slo/"


class SubjectCounts(TypedDict):
    """Counts of one subject in one minute."""

    service: str
    account: str
    good: int
    bad: int


class HourReport(TypedDict):
    """JSON content of the object of one hour.

    Attributes:
      process: Process that counted the requests.
      minutes: Counts by the start of the minute, seconds since 1970 as text.
        A minute without requests has an empty list, which distinguishes it
        from a minute that was not reported.
    """

    process: str
    minutes: dict[str, list[SubjectCounts]]


class SloRecorder:
    """Counts the requests of one entry."""

    def __init__(
        self,
        process_id: str,
        incarnation: str,
        store: ObjectStore,
        clock: Clock,
    ):
        self._process_id = process_id
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._hour_start = self._period_start(HOUR_S)
        self._version = 0
        self._counts_by_key: dict[tuple[int, Subject], RequestCounts] = {}
        self._minute_starts: list[int] = []

    def record_request(self, service: str, account: str, good: bool) -> None:
        """Counts a request that ended now."""
        key = (self._period_start(MINUTE_S), Subject(service, account))
        previous = self._counts_by_key.get(key, RequestCounts())
        self._counts_by_key[key] = RequestCounts(
            previous.good + good, previous.bad + (not good)
        )

    async def flush(self) -> Failure | None:
        """Writes the hour's object with all complete minutes so far.

        Called once a minute. Counts that could not be written are included in
        the next write, unless the hour ends while the store is unavailable.

        Errors:
          The same as for `ObjectStore.put`; the next call writes again.
        """
        minute_start = self._period_start(MINUTE_S)
        if not self._minute_starts or self._minute_starts[-1] != minute_start:
            self._minute_starts.append(minute_start)
        failure = await self._write_report(before=minute_start)
        hour_start = self._period_start(HOUR_S)
        if hour_start != self._hour_start:
            self._start_hour(hour_start)
        return failure

    def _start_hour(self, hour_start: int) -> None:
        self._hour_start = hour_start
        self._version = 0
        self._minute_starts = [
            start for start in self._minute_starts if start >= hour_start
        ]
        self._counts_by_key = {
            key: counts
            for key, counts in self._counts_by_key.items()
            if key[0] >= hour_start
        }

    async def _write_report(self, before: int) -> Failure | None:
        key = (
            f"{SLO_KEY_PREFIX}{self._hour_start}/{self._process_id}"
            f"/{self._incarnation}"
        )
        value = orjson.dumps(self._make_report(before))
        result = await self._store.put(key, value, self._version)
        if isinstance(result, Failure):
            if result.code == ResultCode.VERSION_CONFLICT:
                stored = await self._store.get(key)
                if isinstance(stored, StoredObject):
                    self._version = stored.version
            return result
        self._version = result
        return None

    def _make_report(self, before: int) -> HourReport:
        end = min(before, self._hour_start + HOUR_S)
        minutes: dict[str, list[SubjectCounts]] = {
            str(start): []
            for start in self._minute_starts
            if self._hour_start <= start < end
        }
        for (start, subject), counts in self._counts_by_key.items():
            if self._hour_start <= start < end:
                minutes.setdefault(str(start), []).append(
                    SubjectCounts(
                        service=subject.service,
                        account=subject.account,
                        good=counts.good,
                        bad=counts.bad,
                    )
                )
        return HourReport(process=self._process_id, minutes=minutes)

    def _period_start(self, length_s: int) -> int:
        now = int(self._clock.wall())
        return now - now % length_s


def decode_minute_reports(
    objects: list[StoredObject],
) -> tuple[list[MinuteCounts], dict[int, frozenset[str]]]:
    """Decodes the objects under SLO_KEY_PREFIX.

    Returns:
      All minutes, and the processes that should have reported each minute. A
      process should report every minute from its first to its last report; no
      report is expected from a process that has ended for good.
    """
    minutes: list[MinuteCounts] = []
    starts_by_process: dict[str, list[int]] = {}
    for stored in objects:
        report: HourReport = orjson.loads(stored.value)
        process = report["process"]
        for text, counts in report["minutes"].items():
            start = int(text)
            starts_by_process.setdefault(process, []).append(start)
            # Empty counts mark the minute as reported.
            minutes.append(
                MinuteCounts(start, process, Subject(""), RequestCounts())
            )
            minutes.extend(
                MinuteCounts(
                    start,
                    process,
                    Subject(count["service"], count["account"]),
                    RequestCounts(count["good"], count["bad"]),
                )
                for count in counts
            )
    expected: dict[int, set[str]] = {}
    for process, starts in starts_by_process.items():
        for start in range(min(starts), max(starts) + 1, MINUTE_S):
            expected.setdefault(start, set()).add(process)
    return minutes, {s: frozenset(p) for s, p in expected.items()}

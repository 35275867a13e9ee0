"""Burn rates: how fast service-level objectives consume their error budgets.

A burn rate of 1 consumes the budget of the period in exactly that period. An
alert requires a high rate in a long window and also in a short one, so that it
clears soon after its cause is gone. Windows and thresholds are those of
chapter 5 of Google's Site Reliability Workbook for a period of 30 days.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

MINUTE_S = 60
HOUR_S = 3600
PERIOD_S = 30 * 24 * HOUR_S


class AlertRule(NamedTuple):
    """A burn rate that raises an alert if two windows exceed it.

    Attributes:
      name: `page` or `ticket`.
      long_s: Length of the long window in seconds.
      short_s: Length of the short window in seconds.
      threshold: Burn rate that both windows must exceed.
    """

    name: str
    long_s: int
    short_s: int
    threshold: float


ALERT_RULES = (
    AlertRule("page", HOUR_S, 5 * MINUTE_S, 14.4),
    AlertRule("page", 6 * HOUR_S, 30 * MINUTE_S, 6.0),
    AlertRule("ticket", 3 * 24 * HOUR_S, 6 * HOUR_S, 1.0),
)


class Subject(NamedTuple):
    """The requests that an objective covers.

    Attributes:
      service: Name of the service.
      account: Name of the client account; empty for all accounts together.
    """

    service: str
    account: str = ""


class Objective(NamedTuple):
    """A service-level objective.

    Attributes:
      subject: The requests that it covers.
      target: Share of requests that must be good, such as 0.999.
    """

    subject: Subject
    target: float


class RequestCounts(NamedTuple):
    """Number of requests in a period.

    Attributes:
      good: Requests that met the objective.
      bad: Requests that did not meet it.
    """

    good: int = 0
    bad: int = 0


class MinuteCounts(NamedTuple):
    """Requests of one subject that ended in one minute at one entry.

    Attributes:
      start: Start of the minute, seconds since 1970.
      entry: Process that counted the requests.
      subject: Service and client account of the requests.
      counts: Number of good and bad requests.
    """

    start: int
    entry: str
    subject: Subject
    counts: RequestCounts


class WindowBurn(NamedTuple):
    """Burn rate in one window.

    Attributes:
      length_s: Length of the window in seconds.
      rate: Burn rate; None if the window has no requests.
      coverage: Share of the window's minutes that all entries reported.
    """

    length_s: int
    rate: float | None
    coverage: float


class ObjectiveBurn(NamedTuple):
    """Burn rates of one objective.

    Attributes:
      objective: The objective.
      windows: Burn rates in all windows, shortest window first.
      budget_left: Share of the period's budget that is left; negative if it
        is overspent. Minutes without a report consume none of it.
      alerts: Names of the active alerts.
    """

    objective: Objective
    windows: tuple[WindowBurn, ...]
    budget_left: float
    alerts: tuple[str, ...]


class MinuteCountIndex:
    """Request counts of all entries by subject and minute.

    The caller states which entries should have reported each minute. A minute
    that one of them has not reported does not count towards the coverage, so
    that missing reports are not taken for success.
    """

    def __init__(
        self,
        minutes: Iterable[MinuteCounts],
        expected_by_minute: Mapping[int, frozenset[str]],
    ):
        self._counts_by_key: dict[tuple[Subject, int], RequestCounts] = {}
        reporting_entries_by_minute: dict[int, set[str]] = {}
        for minute in minutes:
            reporting_entries_by_minute.setdefault(minute.start, set()).add(
                minute.entry
            )
            for subject in {minute.subject, Subject(minute.subject.service)}:
                self._add(subject, minute)
        self._complete_minutes = frozenset(
            start
            for start, entries in expected_by_minute.items()
            if entries <= reporting_entries_by_minute.get(start, set())
        )

    def _add(self, subject: Subject, minute: MinuteCounts) -> None:
        previous = self._counts_by_key.get(
            (subject, minute.start), RequestCounts()
        )
        self._counts_by_key[subject, minute.start] = RequestCounts(
            previous.good + minute.counts.good, previous.bad + minute.counts.bad
        )

    def window_burn(
        self, objective: Objective, end: int, length_s: int
    ) -> WindowBurn:
        """Returns the burn rate of the minutes in [end - length_s, end)."""
        starts = range(end - length_s, end, MINUTE_S)
        counts = self.total_counts(objective.subject, starts)
        total = counts.good + counts.bad
        rate = None
        if total:
            rate = (counts.bad / total) / (1 - objective.target)
        reported = sum(start in self._complete_minutes for start in starts)
        return WindowBurn(length_s, rate, reported / len(starts))

    def total_counts(
        self, subject: Subject, starts: Iterable[int]
    ) -> RequestCounts:
        """Returns the total of the requests in these minutes."""
        counts_by_minute = [
            self._counts_by_key.get((subject, start), RequestCounts())
            for start in starts
        ]
        return RequestCounts(
            sum(counts.good for counts in counts_by_minute),
            sum(counts.bad for counts in counts_by_minute),
        )


def compute_burn(
    objective: Objective, index: MinuteCountIndex, now: int
) -> ObjectiveBurn:
    """Returns the burn rates and alerts of an objective.

    Args:
      objective: The objective; its target is below 1.
      index: Request counts; covers at least the last PERIOD_S seconds.
      now: Seconds since 1970; the current minute is not included.
    """
    end = now - now % MINUTE_S
    lengths = sorted(
        {rule.long_s for rule in ALERT_RULES}
        | {rule.short_s for rule in ALERT_RULES}
    )
    windows_by_length = {
        length: index.window_burn(objective, end, length) for length in lengths
    }
    alerts = tuple(
        rule.name
        for rule in ALERT_RULES
        if _exceeds(windows_by_length[rule.long_s], rule.threshold)
        and _exceeds(windows_by_length[rule.short_s], rule.threshold)
    )
    period_counts = index.total_counts(
        objective.subject, range(end - PERIOD_S, end, MINUTE_S)
    )
    return ObjectiveBurn(
        objective=objective,
        windows=tuple(windows_by_length.values()),
        budget_left=_budget_left(objective, period_counts),
        alerts=tuple(dict.fromkeys(alerts)),
    )


def _exceeds(window: WindowBurn, threshold: float) -> bool:
    return window.rate is not None and window.rate > threshold


def _budget_left(objective: Objective, total: RequestCounts) -> float:
    error_budget = (total.good + total.bad) * (1 - objective.target)
    if not error_budget:
        return 1.0
    return 1 - total.bad / error_budget

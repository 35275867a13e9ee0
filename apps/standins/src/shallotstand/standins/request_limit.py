"""The limit that an engine states, and the requests that it got meanwhile."""

import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

LIMIT_HEADER = "Server-Limit"
# Callers have this long to learn of a limit once an engine states one.
CONTACT_S = 3.0
# In each window of this length an engine may get at most TOLERANCE times what
# it allows, and EXTRA_REQUESTS more.
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


class _Change(NamedTuple):
    at: float
    requests_per_s: float | None


class _Arrival(NamedTuple):
    at: float
    request_id: str


class RequestLimit:
    """States a limit in responses and records the requests that arrive."""

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._changes: list[_Change] = []
        self._arrivals: list[_Arrival] = []

    def state(self, requests_per_s: float | None) -> None:
        """States another limit from now on; None for no limit."""
        self._changes.append(_Change(self._now(), requests_per_s))

    def record_arrival(self, request_id: str) -> dict[str, str]:
        """Records a request and returns the headers that state the limit."""
        self._arrivals.append(_Arrival(self._now(), request_id))
        limit = self._changes[-1].requests_per_s if self._changes else None
        return {} if limit is None else {LIMIT_HEADER: f"{limit:g}"}

    def count(self, since: float = 0.0) -> int:
        """Returns the number of requests that arrived since a moment."""
        return sum(arrival.at >= since for arrival in self._arrivals)

    def busiest_second(self, since: float = 0.0) -> int:
        """Returns the most requests that arrived within a second."""
        arrivals = [one.at for one in self._arrivals if one.at >= since]
        return max(
            (
                sum(start <= at < start + 1.0 for at in arrivals)
                for start in arrivals
            ),
            default=0,
        )

    def violations(
        self, is_excused: Callable[[str], bool] = lambda _: False
    ) -> list[str]:
        """Returns a description of each window with too many requests.

        Args:
          is_excused: Whether a request, given its identifier, does not count.
        """
        return [
            f"{count} requests in {WINDOW_S} s, {allowed:.1f} allowed"
            for started, ended in self._limited_periods()
            for count, allowed in self._windows(
                started + CONTACT_S, ended, is_excused
            )
            if count > allowed
        ]

    def _limited_periods(self) -> Iterator[tuple[float, float]]:
        """Yields when a limit began and ended, whatever its value between."""
        started = None
        for change in self._changes:
            if change.requests_per_s is None and started is not None:
                yield started, change.at
                started = None
            elif change.requests_per_s is not None and started is None:
                started = change.at
        if started is not None:
            yield started, self._now()

    def _windows(
        self,
        first: float,
        last: float,
        is_excused: Callable[[str], bool],
    ) -> Iterator[tuple[int, float]]:
        """Yields requests and requests allowed of each window in a period."""
        times = [
            arrival.at
            for arrival in self._arrivals
            if first <= arrival.at <= last
            and not is_excused(arrival.request_id)
        ]
        for number, start in enumerate(times):
            end = start + WINDOW_S
            count = sum(at < end for at in times[number:])
            allowance = self._allowance(start, min(end, last))
            yield count, TOLERANCE * allowance + EXTRA_REQUESTS

    def _allowance(self, start: float, end: float) -> float:
        """Returns how many requests the limits allow in a span of time."""
        ends = [change.at for change in self._changes[1:]] + [float("inf")]
        return sum(
            (change.requests_per_s or 0.0)
            * max(0.0, min(end, change_end) - max(start, change.at))
            for change, change_end in zip(self._changes, ends, strict=True)
        )

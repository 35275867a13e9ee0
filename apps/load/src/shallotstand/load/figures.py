"""What a load run measures."""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

# Times are counted in microseconds with three significant digits.
_HIGHEST_US = 3600 * 1_000_000
_DIGITS = 3
_US_PER_MS = 1000.0
_QUANTILES = (50.0, 90.0, 99.0, 99.9)

# Outcomes that are no result code of shallotstand.
BROKEN = "broken"
WRONG = "wrong"


class Outcome(NamedTuple):
    """How a request ended.

    Attributes:
      account: Name of the client account.
      code: Result code; 0 if the whole answer arrived.
      problem: BROKEN for a lost connection, WRONG for an answer that is
        neither whole nor an error; else empty.
      first_byte_s: Seconds from the planned arrival to the first byte.
      total_s: Seconds from the planned arrival to the end.
    """

    account: str
    code: int
    problem: str
    first_byte_s: float
    total_s: float


class Figure(NamedTuple):
    """One line of the report."""

    figure: str
    value: float
    unit: str
    label: str = ""


class Figures:
    """Collects outcomes."""

    def __init__(self) -> None:
        self._totals: dict[str, HdrHistogram] = {}
        self._first_bytes: dict[str, HdrHistogram] = {}
        self._counts_by_code: collections.Counter[int] = collections.Counter()
        self._problems: collections.Counter[str] = collections.Counter()
        self.skipped = 0

    def add(self, outcome: Outcome) -> None:
        """Adds the outcome of a request; only whole answers count in times."""
        if outcome.problem:
            self._problems[outcome.problem] += 1
            return
        self._counts_by_code[outcome.code] += 1
        if outcome.code == 0:
            _record(self._totals, outcome.account, outcome.total_s)
            _record(self._first_bytes, outcome.account, outcome.first_byte_s)

    @property
    def ended(self) -> int:
        """Number of requests that ended in any way."""
        return self._counts_by_code.total() + self._problems.total()

    def lines(self) -> Iterator[Figure]:
        """Yields every figure, those of all accounts first."""
        yield Figure("served", self._counts_by_code[0], "requests")
        yield Figure("skipped", self.skipped, "requests")
        for problem in (BROKEN, WRONG):
            yield Figure(problem, self._problems[problem], "requests")
        for code, count in sorted(self._counts_by_code.items()):
            if code:
                yield Figure("refused", count, "requests", str(code))
        yield from _quantiles("latency", self._totals)
        yield from _quantiles("first_byte", self._first_bytes)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _HIGHEST_US, _DIGITS)


def _record(
    by_account: dict[str, HdrHistogram], account: str, seconds: float
) -> None:
    held = by_account.setdefault(account, _histogram())
    held.record_value(max(1, int(seconds * 1_000_000)))


def _quantiles(
    name: str, by_account: dict[str, HdrHistogram]
) -> Iterator[Figure]:
    together = _histogram()
    for held in by_account.values():
        together.add(held)
    for label, histogram in (("", together), *sorted(by_account.items())):
        for quantile in _QUANTILES:
            value_us = histogram.get_value_at_percentile(quantile)
            yield Figure(
                f"{name}_p{quantile:g}", value_us / _US_PER_MS, "ms", label
            )

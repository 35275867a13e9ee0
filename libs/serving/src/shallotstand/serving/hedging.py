"""Decides when a slow request is also sent to a second endpoint."""

import math
from typing import NamedTuple, Protocol

from hdrh.histogram import HdrHistogram

# By definition one request in fifty is slower, which matches BUDGET_RATIO.
HEDGE_PERCENTILE = 98.0
BUDGET_RATIO = 0.02
MAX_BUDGET = 10.0
# With fewer samples the percentile is just the slowest request.
MIN_SAMPLES = 100
# The histogram is replaced after this many samples, so that old ones expire.
_ROTATION_SAMPLES = 1000
# Reading a percentile scans the whole histogram, so it isn't done every time.
_REFRESH_SAMPLES = 50
_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 2


class HedgeKind(NamedTuple):
    """Class of requests with comparable durations.

    Attributes:
      service: Name of the service.
      size: Binary logarithm of the expected tokens, rounded up.
    """

    service: str
    size: int

    @classmethod
    def from_cost(cls, service: str, cost: float) -> "HedgeKind":
        """Returns the kind of a request by its expected tokens."""
        return cls(service, max(0, math.ceil(math.log2(max(1.0, cost)))))


class HedgePolicy(Protocol):
    """Decides whether a second copy of a request is sent."""

    def hedge_delay_s(self, kind: HedgeKind) -> float | None:
        """Returns the seconds after which a request is a straggler.

        The caller must make sure that the request is idempotent and not
        a suspect.

        Returns:
          None while there are too few samples.
        """
        ...

    def try_spend_budget(self) -> bool:
        """Takes one hedge from the budget; False if it is empty."""
        ...

    def record_duration(self, kind: HedgeKind, seconds: float) -> None:
        """Records the duration of a finished request."""
        ...


class NoHedging:
    """Baseline without hedging."""

    def hedge_delay_s(self, kind: HedgeKind) -> float | None:  # noqa: ARG002
        """Returns None: no request is hedged."""
        return None

    def try_spend_budget(self) -> bool:
        """Returns False: the budget is always empty."""
        return False

    def record_duration(self, kind: HedgeKind, seconds: float) -> None:
        """Does nothing."""


class _Durations:
    """Recent durations of one kind of request."""

    def __init__(self) -> None:
        self._current = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
        self._previous: HdrHistogram | None = None
        self._threshold_s: float | None = None

    def record(self, seconds: float) -> None:
        """Adds a duration."""
        self._current.record_value(min(_MAX_MS, max(1, int(seconds * 1000))))
        count = self._current.get_total_count()
        if count % _REFRESH_SAMPLES == 0:
            self._update_threshold()
        if count >= _ROTATION_SAMPLES:
            self._previous = self._current
            self._current = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)

    @property
    def threshold_s(self) -> float | None:
        """Duration in seconds that only stragglers exceed; None if unknown."""
        return self._threshold_s

    def _update_threshold(self) -> None:
        histogram = self._current
        if histogram.get_total_count() < MIN_SAMPLES:
            histogram = self._previous
        if histogram is not None:
            milliseconds = histogram.get_value_at_percentile(HEDGE_PERCENTILE)
            self._threshold_s = milliseconds / 1000


class PercentileHedging:
    """Hedges requests slower than a high percentile, within a budget.

    Without the budget, a service that becomes slow as a whole would get twice
    the load.
    """

    def __init__(self) -> None:
        self._durations_by_kind: dict[HedgeKind, _Durations] = {}
        self._budget = 1.0

    def hedge_delay_s(self, kind: HedgeKind) -> float | None:
        """Returns the seconds after which a request is a straggler."""
        durations = self._durations_by_kind.get(kind)
        return durations.threshold_s if durations else None

    def try_spend_budget(self) -> bool:
        """Takes one hedge from the budget; False if it is empty."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True

    def record_duration(self, kind: HedgeKind, seconds: float) -> None:
        """Records the duration of a finished request."""
        self._budget = min(MAX_BUDGET, self._budget + BUDGET_RATIO)
        self._durations_by_kind.setdefault(kind, _Durations()).record(seconds)

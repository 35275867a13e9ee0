"""What requests are likely to cost, learned from those that have ended.

The pattern of load: requests that look alike cost their endpoints very
different amounts of work. Routes differ most, then client accounts and sizes.

A cost is the time that a request takes at an endpoint of the service's usual
speed, in seconds. It is learned at several levels, from the service down to
requests of one account, route and size; the most specific level with enough
recent samples counts.
"""

import collections
import math
from collections.abc import Iterator
from typing import NamedTuple

from shallotstand.core.clock import Clock

# Samples that a level needs before it counts; that of the service needs one.
MIN_SAMPLES = 8
# Levels without a sample for this long don't count: the work behind a route
# changes with releases of its service.
MAX_AGE_S = 60.0
# Weight of the newest sample once a level has many.
MIN_SMOOTHING = 0.05
# A sample counts as at most the mean and this many times the spread, so that a
# single stalled endpoint does not change what all requests are taken to cost.
MAX_DEVIATIONS = 4.0
# Levels that are kept; the least recently used ones are dropped.
CAPACITY = 2000


class RequestTraits(NamedTuple):
    """What is known of a request before it runs.

    Attributes:
      service: Service that runs it.
      route: Name of its route.
      account: Its client account; None if there is none.
      size: Size of its content in bytes.
    """

    service: str
    route: str
    account: str | None
    size: int

    def levels(self) -> Iterator[tuple[str | int | None, ...]]:
        """Yields the keys of its levels, the most specific one first."""
        size_class = self.size.bit_length()
        yield self.service, self.route, self.account, size_class
        yield self.service, self.route, size_class
        yield self.service, self.route
        yield (self.service,)


class CostEstimate(NamedTuple):
    """What a request is expected to cost.

    Attributes:
      seconds: Expected seconds at an endpoint of usual speed.
      spread_s: Standard deviation in seconds.
      sample_count: Number of requests that it is based on.
      age_s: Seconds since the newest of them.
    """

    seconds: float
    spread_s: float
    sample_count: int
    age_s: float


class _Level:
    """Moving average and variance of the costs at one level."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.variance = 0.0
        self.sample_count = 0
        self.updated_at = float("-inf")

    def record(self, seconds: float, now: float) -> None:
        """Adds a sample."""
        if self.sample_count >= MIN_SAMPLES:
            bound = MAX_DEVIATIONS * math.sqrt(self.variance)
            seconds = min(seconds, self.mean + max(bound, self.mean))
        self.sample_count += 1
        weight = max(MIN_SMOOTHING, 1.0 / self.sample_count)
        difference = seconds - self.mean
        self.mean += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference**2)
        self.updated_at = now


class RequestCosts:
    """The costs that one process has seen."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._levels_by_key: collections.OrderedDict[tuple, _Level] = (
            collections.OrderedDict()
        )

    def estimate(self, traits: RequestTraits) -> CostEstimate | None:
        """Returns what a request is likely to cost; None if unknown."""
        now = self._clock.monotonic()
        for key in traits.levels():
            level = self._levels_by_key.get(key)
            is_service = key == (traits.service,)
            if (
                level is not None
                and level.sample_count >= (1 if is_service else MIN_SAMPLES)
                and now - level.updated_at <= MAX_AGE_S
            ):
                return CostEstimate(
                    level.mean,
                    math.sqrt(level.variance),
                    level.sample_count,
                    now - level.updated_at,
                )
        return None

    def record(self, traits: RequestTraits, seconds: float) -> None:
        """Records what a request has cost.

        Args:
          traits: The request.
          seconds: Seconds that it took, divided by how many times as long as
            usual its endpoint takes.
        """
        now = self._clock.monotonic()
        for key in traits.levels():
            level = self._levels_by_key.setdefault(key, _Level())
            self._levels_by_key.move_to_end(key)
            level.record(seconds, now)
        while len(self._levels_by_key) > CAPACITY:
            self._levels_by_key.popitem(last=False)

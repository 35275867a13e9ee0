"""Measures what a second copy of stragglers saves and costs."""

import random
from collections.abc import Iterator

from shallotstand.serving.hedging import (
    BUDGET_RATIO,
    HedgeKind,
    HedgePolicy,
    NoHedging,
    PercentileHedging,
)

from measure.figure import Figure, percentile

REQUESTS = 20_000
STRAGGLERS = 0.015
STRAGGLER_FACTOR = 10.0
KIND = HedgeKind("drafts", 8)


def _duration(rng: random.Random) -> float:
    """Returns seconds: about 0.5, for few requests ten times as much."""
    seconds = rng.lognormvariate(-0.7, 0.2)
    if rng.random() < STRAGGLERS:
        return seconds * STRAGGLER_FACTOR
    return seconds


def run(
    policy: HedgePolicy, rng: random.Random, slow: float = 1.0
) -> tuple[list[float], int]:
    """Returns the seconds of each request and the number of second copies.

    Args:
      policy: When to send a second copy.
      rng: Source of durations.
      slow: Factor by which everything slows down after half the requests.
    """
    latencies = []
    copies = 0
    for number in range(REQUESTS):
        factor = slow if number > REQUESTS / 2 else 1.0
        seconds = _duration(rng) * factor
        delay = policy.hedge_delay_s(KIND)
        if delay is not None and seconds > delay and policy.try_spend_budget():
            copies += 1
            seconds = min(seconds, delay + _duration(rng) * factor)
        policy.record_duration(KIND, seconds)
        latencies.append(seconds)
    return latencies, copies


def figures(seed: int) -> Iterator[Figure]:
    """Yields the figures of hedging."""
    plain, _ = run(NoHedging(), random.Random(seed))
    hedged, _ = run(PercentileHedging(), random.Random(seed))
    _, copies = run(PercentileHedging(), random.Random(seed), slow=5.0)
    yield Figure(
        "latency p99 with hedges, 1.5% stragglers",
        "s",
        percentile(hedged, 99),
        percentile(plain, 99),
        percentile(plain, 99) / 2,
        False,
        seed,
    )
    yield Figure(
        "second copies when a whole service slows down fivefold",
        "share of requests",
        copies / REQUESTS,
        0.0,
        BUDGET_RATIO + 1 / REQUESTS,
        False,
        seed,
    )

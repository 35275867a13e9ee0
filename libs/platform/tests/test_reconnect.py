"""Tests of the reconnection delays."""

import random

from shallotstand.core.clock import ManualClock
from shallotstand.platform.reconnect import ReconnectPolicy


def test_flapping_store_is_asked_at_the_refill_rate():
    # Guards against a storm from a store that accepts and drops connections:
    # success resets the backoff, so only the budget limits the rate.
    clock = ManualClock()
    policy = ReconnectPolicy(clock, random.Random(1))
    start = clock.monotonic()
    for _ in range(65):
        clock.advance(policy.delay(1))
    assert clock.monotonic() - start >= 250.0


def test_delays_are_jittered():
    # Guards against processes that come back in step.
    delays = {
        ReconnectPolicy(ManualClock(), random.Random(seed)).delay(3)
        for seed in range(10)
    }
    assert len(delays) == 10

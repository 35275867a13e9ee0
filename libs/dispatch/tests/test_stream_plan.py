"""The version that began a stream follows from its identifier."""

import bisect
import collections
import random

import pytest
from shallotstand.dispatch.stream_plan import (
    MAX_PLAN_AGE_S,
    MAX_STREAM_S,
    MIN_SHARE_CHANGE,
    SHARES,
    Period,
    StreamPlan,
    is_outdated,
    observe_shares,
)
from shallotstand.standins.memory_engines import make_endpoint

VERSIONS = ("v1", "v2", "v3")
CLOCK_DIFFERENCE_S = 2.0


def random_shares(rng):
    present = rng.sample(VERSIONS, rng.randint(1, len(VERSIONS)))
    return {version: rng.randint(1, SHARES) for version in present}


@pytest.mark.parametrize("seed", range(20))
def test_unrecorded_streams_go_on_at_the_version_that_began_them(seed):
    # Guards against streams that are joined from two versions because the plan
    # has changed since, or because a process followed an outdated one.
    rng = random.Random(seed)
    plans = [StreamPlan((Period(random_shares(rng), 0.0),))]
    for _ in range(8):
        began_at = plans[-1].current.began_at + rng.choice((1.0, 30.0, 400.0))
        plans.append(
            plans[-1].with_period(Period(random_shares(rng), began_at))
        )
    starts = [plan.current.began_at for plan in plans]

    def plan_at(now, lag_s):
        index = bisect.bisect_right(starts, now - lag_s) - 1
        return plans[max(0, index)]

    unrecorded = 0
    for number in range(2000):
        stream_id = f"stream-{number}"
        now = rng.uniform(0.0, starts[-1] + 300.0)
        plan = plan_at(now, rng.uniform(0.0, MAX_PLAN_AGE_S))
        version = plan.current.version_of(stream_id)
        skew_s = rng.uniform(-CLOCK_DIFFERENCE_S, CLOCK_DIFFERENCE_S)
        if plan.is_recorded(stream_id, version, now + skew_s):
            continue
        unrecorded += 1
        later = now + rng.uniform(0.0, MAX_STREAM_S)
        taken_up = plan_at(later, rng.uniform(0.0, MAX_PLAN_AGE_S))
        assert taken_up.unrecorded_version(stream_id, later) == version
    assert unrecorded > 200


def test_versions_get_streams_by_their_shares():
    # Guards against engines that stay idle because few streams begin there.
    period = Period({"v1": 12, "v2": 4}, 0.0)
    counts = collections.Counter(
        period.version_of(f"stream-{number}") for number in range(4000)
    )
    assert counts["v2"] / counts.total() == pytest.approx(0.25, abs=0.03)


def test_plan_changes_with_versions_and_large_differences_only():
    # Guards against a plan that changes with each engine that comes or goes:
    # after each change, streams have to be recorded for some minutes.
    endpoints = [
        make_endpoint(f"e{number}", software_version=f"v{number % 2}")
        for number in range(8)
    ]
    period = Period(observe_shares(endpoints), 0.0)
    assert period.share_by_version == {"v0": SHARES // 2, "v1": SHARES // 2}
    assert not is_outdated(period, observe_shares(endpoints[1:]))
    assert not is_outdated(period, {})
    assert is_outdated(period, {"v0": SHARES})
    moved = SHARES // 2 + MIN_SHARE_CHANGE
    assert is_outdated(period, {"v0": moved, "v1": SHARES - moved})


def test_old_periods_are_dropped():
    # Guards against a plan that grows with each change.
    plan = StreamPlan((Period({"v1": 1}, 0.0),))
    for number in range(1, 200):
        plan = plan.with_period(Period({"v1": 1}, number * 60.0))
    assert len(plan.periods) < 12

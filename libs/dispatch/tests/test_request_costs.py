"""Costs of requests that look alike, learned from those that have ended.

The pattern of load: one service runs cheap and expensive requests, of accounts
that use it differently, on endpoints of unequal and changing speed.
"""

import random

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch import request_costs
from shallotstand.dispatch.cost_tracking import RequestCost
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.request_costs import (
    MAX_AGE_S,
    MIN_SAMPLES,
    RequestCosts,
    RequestTraits,
)
from shallotstand.standins.memory_engines import make_endpoint

QUOTE = RequestTraits("desk", "quote", "a", 600)
LOOKUP = RequestTraits("desk", "lookup", None, 600)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def costs(clock):
    return RequestCosts(clock)


def record(costs, traits, *seconds):
    for value in seconds:
        costs.record(traits, value)


def test_routes_of_one_service_have_costs_of_their_own(costs):
    # Guards against one average for cheap and expensive requests.
    record(costs, QUOTE, *[0.02] * 20)
    record(costs, LOOKUP, *[0.09] * 20)
    assert costs.estimate(QUOTE).seconds == pytest.approx(0.02)
    assert costs.estimate(LOOKUP).seconds == pytest.approx(0.09)


def test_accounts_and_sizes_differ_once_enough_is_known(costs):
    large = QUOTE._replace(account="b", size=60_000)
    record(costs, QUOTE, *[0.02] * 40)
    record(costs, large, *[0.4] * (MIN_SAMPLES - 1))
    assert costs.estimate(large).seconds < 0.3
    record(costs, large, 0.4)
    assert costs.estimate(large).seconds == pytest.approx(0.4)
    assert costs.estimate(QUOTE).seconds == pytest.approx(0.02)


def test_unknown_request_costs_what_its_service_usually_does(costs):
    record(costs, QUOTE, *[0.02] * 20)
    assert costs.estimate(LOOKUP).seconds == pytest.approx(0.02)
    assert costs.estimate(LOOKUP._replace(service="other")) is None


def test_cost_follows_a_change_of_the_service(costs):
    record(costs, QUOTE, *[0.02] * 100)
    record(costs, QUOTE, *[0.06] * 100)
    assert costs.estimate(QUOTE).seconds == pytest.approx(0.06, rel=0.1)


def test_old_costs_do_not_count(costs, clock):
    record(costs, QUOTE, *[0.02] * 20)
    clock.advance(MAX_AGE_S + 1.0)
    assert costs.estimate(QUOTE) is None


def test_one_stalled_request_changes_little(costs):
    # Guards against an endpoint that stalls once and makes all requests of the
    # route look expensive.
    record(costs, QUOTE, *[0.02] * 50, 10.0)
    assert costs.estimate(QUOTE).seconds < 0.025


def test_estimate_tells_its_spread_and_age(costs, clock):
    rng = random.Random(1)
    record(costs, QUOTE, *(rng.uniform(0.0, 0.1) for _ in range(200)))
    clock.advance(3.0)
    estimate = costs.estimate(QUOTE)
    assert estimate.spread_s == pytest.approx(0.029, rel=0.35)
    assert estimate.sample_count == 200
    assert estimate.age_s == 3.0


def test_memory_is_bounded(costs, monkeypatch):
    # Guards against memory that grows with each account and size ever seen.
    monkeypatch.setattr(request_costs, "CAPACITY", 50)
    for number in range(500):
        costs.record(QUOTE._replace(account=f"a{number}"), 0.1)
    assert len(costs._levels_by_key) == 50
    assert costs.estimate(QUOTE) is not None


def test_cost_and_speed_are_told_apart(costs, clock):
    # Guards against an endpoint that looks slow since it has run expensive
    # requests, and against requests that look expensive since they ran on a
    # slow endpoint.
    registry = EndpointRegistry("zone-a", clock)
    endpoints = [make_endpoint("fast"), make_endpoint("slow")]
    for endpoint in endpoints:
        registry.update_endpoint(endpoint)
    rng = random.Random(3)
    traits = {
        0.02: RequestTraits("engines", "quote", None, 1),
        0.1: RequestTraits("engines", "lookup", None, 1),
    }
    for _ in range(600):
        work_s = rng.choice((0.02, 0.1))
        endpoint = rng.choice(endpoints)
        factor = 3.0 if endpoint.id == "slow" else 1.0
        cost = RequestCost(costs, traits[work_s])
        cost.record_success(registry, endpoint, work_s * factor)
        clock.advance(0.01)
    fast, slow = map(registry.seconds_per_unit, endpoints)
    assert slow / fast == pytest.approx(3.0, rel=0.25)
    cheap, expensive = (costs.estimate(traits[w]).seconds for w in (0.02, 0.1))
    assert expensive / cheap == pytest.approx(5.0, rel=0.25)

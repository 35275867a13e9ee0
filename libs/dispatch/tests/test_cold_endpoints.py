"""Many gateways with work for engines that have just started.

The pattern of load: an engine joins while items wait in many gateways. All of
them see its free slots at the same moment, and it crashes if they use them at
once.
"""

import bisect

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.cold_endpoints import ASSUMED_COLD_S, ColdEndpoints
from shallotstand.dispatch.endpoint_health import PROBE_BACKOFF_S
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.standins.memory_engines import make_endpoint
from shallotstand.standins.simulated_gateways import SimulatedFleet

# What the platform allows a cold endpoint in any second, beside its rate.
OVERAGE = 1.5
SLACK = 5


def busiest_second(sent_at):
    return max(
        (
            bisect.bisect_left(sent_at, start + 1.0) - number
            for number, start in enumerate(sent_at)
        ),
        default=0,
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("count", [1, 2, 8, 26])
@pytest.mark.parametrize("rate", [2.0, 11.0, 30.0])
def test_no_second_has_too_many_requests(count, rate, seed):
    # Guards against gateways that each fill the free slots of a new engine.
    fleet = SimulatedFleet(count, seed, requests_per_s=50.0)
    fleet.cold_rate = rate
    fleet.run(4.0)
    assert busiest_second(fleet.sent_at) <= OVERAGE * rate + SLACK
    if count >= 3:
        assert len(fleet.sent_at) >= 0.7 * rate * 4.0


@pytest.mark.parametrize("seed", range(5))
def test_bound_holds_while_gateways_restart_and_are_cut_off(seed):
    # Guards against gateways that have not heard of each other and each take
    # the whole rate.
    fleet = SimulatedFleet(12, seed, requests_per_s=50.0)
    fleet.cold_rate = 11.0
    for _ in range(12):
        number = fleet.rng.randrange(12)
        if fleet.rng.random() < 0.5:
            fleet.restart(number)
        else:
            for gateway in fleet.gateways[:4]:
                gateway.is_cut = True
        fleet.run(fleet.rng.uniform(0.2, 1.0))
        for gateway in fleet.gateways:
            gateway.is_cut = False
    assert busiest_second(fleet.sent_at) <= OVERAGE * 11.0 + SLACK


def test_engine_that_gets_warm_has_no_limit():
    fleet = SimulatedFleet(4, requests_per_s=50.0)
    fleet.cold_rate = 2.0
    fleet.run(3.0)
    fleet.cold_rate = None
    before = len(fleet.sent_at)
    fleet.run(1.0)
    assert len(fleet.sent_at) - before > 100


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    registry = EndpointRegistry("zone-a", clock, "g")
    registry.cold.set_rates({"engines": 6.0})
    return registry


def test_entry_tells_how_long_an_endpoint_is_cold(registry, clock):
    registry.update_endpoint(make_endpoint("a", cold_remaining_s=2.0))
    assert registry.candidates("engines") == []
    assert 0 < registry.limit_wait_s(["engines"]) < 1.0
    clock.advance(1.0)
    assert registry.candidates("engines")
    registry.record_request_start(registry.by_id["a"])
    assert registry.candidates("engines") == []
    clock.advance(1.01)
    registry.record_request_start(registry.by_id["a"])
    assert registry.candidates("engines")


def test_endpoint_may_become_cold_again_and_warm_early(registry):
    registry.update_endpoint(make_endpoint("a"))
    assert registry.candidates("engines")
    registry.update_endpoint(make_endpoint("a", cold_remaining_s=3.0))
    assert registry.candidates("engines") == []
    registry.update_endpoint(make_endpoint("a"))
    assert registry.candidates("engines")


def test_service_without_a_rate_has_no_cold_endpoints(clock):
    cold = ColdEndpoints(clock)
    cold.record_entry(make_endpoint("a", cold_remaining_s=3.0))
    assert cold.requests_per_s("a") is None


def test_request_goes_to_a_warm_endpoint_at_once(registry):
    # Guards against callers who wait for a cold endpoint beside a warm one.
    registry.update_endpoint(make_endpoint("a", cold_remaining_s=3.0))
    registry.update_endpoint(make_endpoint("b"))
    assert [e.id for e in registry.candidates("engines")] == ["b"]
    assert registry.limit_wait_s(["engines"]) == 0.0


def test_zone_in_use_again_counts_as_cold_for_a_while(registry, clock):
    # Guards against a burst at engines that became cold while their zone was
    # evacuated, before their entries say so.
    registry.update_endpoint(make_endpoint("a"))
    registry.zone_limits.begin_evacuation("zone-a")
    assert not registry.has_endpoints("engines")
    registry.end_evacuation("zone-a")
    registry.update_endpoint(make_endpoint("a"))
    assert registry.has_endpoints("engines")
    assert registry.candidates("engines") == []
    clock.advance(ASSUMED_COLD_S)
    assert registry.candidates("engines")


def test_one_request_tries_an_endpoint_after_a_failure(registry, clock):
    # Guards against requests that fill all slots of an engine which has started
    # again, and is cold, before its new entry has arrived.
    endpoint = make_endpoint("a")
    registry.update_endpoint(endpoint)
    registry.record_failure(endpoint, "reset", clock.monotonic())
    clock.advance(PROBE_BACKOFF_S)
    assert registry.candidates("engines")
    registry.record_request_start(endpoint)
    assert registry.candidates("engines") == []
    registry.record_event(endpoint)
    assert registry.candidates("engines")


def test_other_services_are_tried_by_several_requests(clock):
    registry = EndpointRegistry("zone-a", clock)
    endpoint = make_endpoint("a")
    registry.update_endpoint(endpoint)
    registry.record_failure(endpoint, "reset", clock.monotonic())
    clock.advance(PROBE_BACKOFF_S)
    registry.record_request_start(endpoint)
    assert registry.candidates("engines")

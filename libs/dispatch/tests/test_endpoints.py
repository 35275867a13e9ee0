"""Backoff, expired registrations and ranking of endpoints."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.endpoint_health import (
    DEFAULT_WORK_S,
    FAILURE_RATE_HALF_LIFE_S,
    INITIAL_FAILURE_BACKOFF_S,
    INITIAL_REFUSAL_BACKOFF_S,
    MAX_REFUSAL_BACKOFF_S,
)
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.endpoints import (
    EXPIRY_GRACE_S,
    MEASUREMENT_MAX_AGE_S,
    EndpointRegistry,
)
from shallotstand.dispatch.work_ledger import OVERDUE_SHARE
from shallotstand.standins.memory_engines import make_endpoint


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def endpoint_registry(clock):
    endpoint_registry = EndpointRegistry("zone-a", clock)
    for name in ("a", "b"):
        endpoint_registry.update_endpoint(make_endpoint(name))
    return endpoint_registry


def candidate_ids(endpoint_registry, **options):
    return {
        found.id for found in endpoint_registry.candidates("engines", **options)
    }


def test_leaving_endpoint_gets_no_work(endpoint_registry):
    endpoint_registry.update_endpoint(make_endpoint("a", is_leaving=True))
    assert candidate_ids(endpoint_registry) == {"b"}


def test_removed_endpoint_is_gone_at_once(endpoint_registry):
    endpoint_registry.remove("a")
    assert candidate_ids(endpoint_registry) == {"b"}


def test_endpoint_that_expired_in_an_outage_is_used_for_the_grace_period(
    endpoint_registry, clock
):
    endpoint_registry.remove("a", clock.monotonic() + EXPIRY_GRACE_S)
    endpoint_registry.remove("b", clock.monotonic() + EXPIRY_GRACE_S)
    assert candidate_ids(endpoint_registry) == {"a", "b"}
    endpoint_registry.update_endpoint(make_endpoint("b"))
    clock.advance(EXPIRY_GRACE_S + 0.1)
    assert candidate_ids(endpoint_registry) == {"b"}


def test_backoff_grows_with_each_failure(endpoint_registry, clock):
    a = endpoint_registry.by_id["a"]
    endpoint_registry.record_failure(a, "reset", clock.monotonic())
    assert candidate_ids(endpoint_registry) == {"b"}
    clock.advance(INITIAL_FAILURE_BACKOFF_S + 0.01)
    assert candidate_ids(endpoint_registry) == {"a", "b"}
    endpoint_registry.record_failure(a, "reset", clock.monotonic())
    clock.advance(INITIAL_FAILURE_BACKOFF_S + 0.01)
    assert candidate_ids(endpoint_registry) == {"b"}


def test_failure_of_a_request_sent_before_the_last_success_starts_no_backoff(
    endpoint_registry, clock
):
    started_at = clock.monotonic()
    clock.advance(0.5)
    endpoint_registry.record_success(endpoint_registry.by_id["a"], 0.1)
    endpoint_registry.record_failure(
        endpoint_registry.by_id["a"], "timeout", started_at
    )
    assert candidate_ids(endpoint_registry) == {"a", "b"}


def test_restarted_endpoint_starts_without_failure_history(
    endpoint_registry, clock
):
    endpoint_registry.record_failure(
        endpoint_registry.by_id["a"], "reset", clock.monotonic()
    )
    endpoint_registry.update_endpoint(make_endpoint("a", started_ms=2))
    assert candidate_ids(endpoint_registry) == {"a", "b"}


def test_refusal_affects_one_model_only(endpoint_registry):
    endpoint_registry.record_refusal(endpoint_registry.by_id["a"], "m1")
    assert candidate_ids(endpoint_registry, model="m1") == {"b"}
    assert candidate_ids(endpoint_registry, model="m2") == {"a", "b"}


def test_one_request_tries_an_endpoint_that_refused(endpoint_registry, clock):
    # If more than one request could probe it, an engine that is still loading
    # weights would get an item for each of its free slots after each backoff.
    # With eight free slots, 1,323 of 1,995 requests were refused.
    a = endpoint_registry.by_id["a"]
    endpoint_registry.record_refusal(a, "m1")
    clock.advance(INITIAL_REFUSAL_BACKOFF_S + 0.01)
    assert candidate_ids(endpoint_registry, model="m1") == {"a", "b"}
    endpoint_registry.record_request_start(a, "m1")
    assert candidate_ids(endpoint_registry, model="m1") == {"b"}
    endpoint_registry.record_acceptance(a, "m1")
    assert candidate_ids(endpoint_registry, model="m1") == {"a", "b"}


def test_running_streams_do_not_end_the_backoff_after_a_refusal(
    endpoint_registry, clock
):
    a = endpoint_registry.by_id["a"]
    endpoint_registry.record_refusal(a, "m1")
    endpoint_registry.record_success(a, 0.04)
    assert candidate_ids(endpoint_registry, model="m1") == {"b"}
    assert endpoint_registry.next_retry_in_s("engines") <= MAX_REFUSAL_BACKOFF_S


def test_less_loaded_and_faster_endpoints_come_first(endpoint_registry):
    a, b = endpoint_registry.by_id["a"], endpoint_registry.by_id["b"]
    endpoint_registry.record_request_start(a)
    assert endpoint_registry.candidates("engines")[0].id == "b"
    endpoint_registry.set_peer_states_source(lambda: {"b": EndpointState(3)})
    assert endpoint_registry.candidates("engines")[0].id == "a"
    endpoint_registry.set_peer_states_source(dict)
    endpoint_registry.record_request_end(a)
    endpoint_registry.record_success(a, 0.1)
    endpoint_registry.record_success(b, 0.4)
    assert endpoint_registry.candidates("engines")[0].id == "a"


def test_endpoint_that_fails_fast_does_not_attract_requests(
    endpoint_registry, clock
):
    # An endpoint that answers each request with an immediate error appears
    # idle and fast; without the failure rate it gets nearly all requests.
    a, b = endpoint_registry.by_id["a"], endpoint_registry.by_id["b"]
    for _ in range(8):
        endpoint_registry.record_success(a, 1.0)
        endpoint_registry.record_success(b, 1.0)
        endpoint_registry.record_outcome(a, has_failed=True)
        endpoint_registry.record_outcome(b, has_failed=False)
    endpoint_registry.record_request_start(b)
    assert [found.id for found in endpoint_registry.candidates("engines")] == [
        "b",
        "a",
    ]
    clock.advance(FAILURE_RATE_HALF_LIFE_S * 8)
    assert [found.id for found in endpoint_registry.candidates("engines")] == [
        "a",
        "b",
    ]


def test_recent_measurement_of_a_peer_is_preferred_to_an_old_local_one(
    endpoint_registry, clock
):
    a = endpoint_registry.by_id["a"]
    endpoint_registry.record_success(a, 0.1)
    endpoint_registry.set_peer_states_source(
        lambda: {"a": EndpointState(1, 0.4)}
    )
    assert endpoint_registry.seconds_per_unit(a) == 0.1
    clock.advance(MEASUREMENT_MAX_AGE_S + 0.1)
    assert endpoint_registry.seconds_per_unit(a) == 0.4
    endpoint_registry.set_peer_states_source(lambda: {"a": EndpointState(1)})
    assert endpoint_registry.seconds_per_unit(a) == 0.1


def test_local_state_is_reported_while_it_is_recent(endpoint_registry, clock):
    a = endpoint_registry.by_id["a"]
    endpoint_registry.record_request_start(a)
    endpoint_registry.record_success(a, 0.1)
    assert endpoint_registry.local_states_by_id() == {
        "a": EndpointState(1, 0.1, work_left_s=pytest.approx(DEFAULT_WORK_S))
    }
    clock.advance(MEASUREMENT_MAX_AGE_S + 0.1)
    assert endpoint_registry.local_states_by_id() == {
        "a": EndpointState(1, work_left_s=DEFAULT_WORK_S * OVERDUE_SHARE)
    }
    endpoint_registry.record_request_end(a)
    assert endpoint_registry.local_states_by_id() == {}

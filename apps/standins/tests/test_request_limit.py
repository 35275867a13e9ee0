"""The stand-in's check finds windows with too many requests, and only them."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.standins.request_limit import (
    CONTACT_S,
    LIMIT_HEADER,
    RequestLimit,
)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limit(clock):
    return RequestLimit(clock.monotonic)


def send(limit, clock, requests_per_s, seconds, request_id="r"):
    for _ in range(int(requests_per_s * seconds)):
        clock.advance(1 / requests_per_s)
        limit.record_arrival(request_id)


def test_requests_before_the_limit_is_known_do_not_count(limit, clock):
    send(limit, clock, 50, 5)
    limit.state(2.0)
    send(limit, clock, 50, CONTACT_S)
    send(limit, clock, 2, 8)
    assert limit.violations() == []


@pytest.mark.parametrize(("requests_per_s", "is_violation"), [(4, 0), (5, 1)])
def test_too_many_requests_are_found(
    limit, clock, requests_per_s, is_violation
):
    # A limit of 2 a second allows 1.5 x 8 + 5 = 17 requests in 4 s.
    limit.state(2.0)
    send(limit, clock, requests_per_s, 12)
    assert bool(limit.violations()) == bool(is_violation)


def test_limit_that_falls_counts_by_the_time_that_each_value_held(limit, clock):
    limit.state(6.0)
    send(limit, clock, 6, 8)
    limit.state(1.0)
    send(limit, clock, 1, 8)
    assert limit.violations() == []
    send(limit, clock, 6, 6)
    assert limit.violations()


def test_nothing_counts_once_a_limit_has_ended(limit, clock):
    limit.state(1.0)
    send(limit, clock, 1, 6)
    limit.state(None)
    send(limit, clock, 50, 6)
    assert limit.violations() == []
    assert limit.record_arrival("r") == {}


def test_excused_requests_do_not_count(limit, clock):
    limit.state(1.0)
    send(limit, clock, 20, 8, "excused")
    assert limit.violations(lambda request_id: request_id == "excused") == []
    assert limit.record_arrival("r") == {LIMIT_HEADER: "1"}

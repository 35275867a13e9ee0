"""What is believed of endpoints that state a limit."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.stated_limits import StatedLimits


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return StatedLimits(clock)


def requests_per_s(limits):
    return limits.by_id["e"].requests_per_s


def test_limit_rises_falls_and_ends_with_the_responses(limits, clock):
    for stated in (4.0, 6.0, 0.5, 0.0, None):
        sent_at = clock.monotonic()
        clock.advance(0.1)
        limits.record_response("e", stated, sent_at)
        assert requests_per_s(limits) == stated


def test_overtaken_response_does_not_end_a_limit(limits, clock):
    # Guards against a limit that is forgotten because a slow response, made
    # before the engine stated it, arrives later.
    sent_at = clock.monotonic()
    clock.advance(0.1)
    limits.record_response("e", 4.0, clock.monotonic())
    clock.advance(0.1)
    limits.record_response("e", None, sent_at)
    assert requests_per_s(limits) == 4.0


def test_endpoint_that_never_stated_a_limit_takes_no_memory(limits):
    limits.record_response("e", None, 0.0)
    assert limits.by_id == {}

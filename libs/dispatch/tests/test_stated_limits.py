"""What is believed of endpoints that state a limit."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.stated_limits import StatedLimit, StatedLimits


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return StatedLimits(clock)


def requests_per_s(limits):
    return limits.newest("e", None)


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
    assert limits.own_by_id == {}
    assert requests_per_s(limits) is None


def test_newest_statement_counts_whoever_heard_it(limits, clock):
    # Guards against a gateway that goes on at full rate since no response has
    # told it of the limit, and against one that holds on to an ended limit.
    assert limits.newest("e", StatedLimit(4.0, clock.monotonic())) == 4.0
    clock.advance(1.0)
    limits.record_response("e", 2.0, clock.monotonic())
    assert limits.newest("e", StatedLimit(4.0, clock.monotonic() - 1)) == 2.0
    clock.advance(1.0)
    assert limits.newest("e", StatedLimit(None, clock.monotonic())) is None
    # What a peer heard is not reported as this process's own statement.
    assert limits.own_by_id["e"].requests_per_s == 2.0


def test_limit_of_a_peer_outlives_the_peer(limits, clock):
    # Guards against a limit that is forgotten as the only process that has
    # heard of it ends.
    assert limits.newest("e", StatedLimit(4.0, clock.monotonic())) == 4.0
    assert requests_per_s(limits) == 4.0


def test_endpoint_that_starts_anew_has_no_limit(limits, clock):
    # Guards against the limit of an engine's previous start, which peers may
    # report for a while.
    limits.record_response("e", 4.0, clock.monotonic())
    before_start = StatedLimit(4.0, clock.monotonic())
    clock.advance(1.0)
    limits.record_start("e")
    assert limits.newest("e", before_start) is None
    assert limits.own_by_id == {}

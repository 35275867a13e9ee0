"""Endpoints in pauses, in outages of the list, and by cost."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.endpoints import (
    FAILURE_HALF_LIFE_S,
    FIRST_PENALTY_S,
    FIRST_REFUSAL_S,
    LAPSE_GRACE_S,
    LAST_REFUSAL_S,
    PACE_FRESH_S,
    EndpointBook,
    EndpointState,
)
from shallotstand.standins.memory_engines import endpoint


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def book(clock):
    book = EndpointBook("zone-a", clock)
    for name in ("a", "b"):
        book.put(endpoint(name))
    return book


def names(book, **options):
    return {found.id for found in book.candidates("engines", **options)}


def test_leaving_endpoint_gets_no_work(book):
    book.put(endpoint("a", is_leaving=True))
    assert names(book) == {"b"}


def test_removed_endpoint_is_gone_at_once(book):
    book.remove("a")
    assert names(book) == {"b"}


def test_entry_that_lapsed_in_an_outage_is_used_until_it_is_surely_gone(
    book, clock
):
    book.remove("a", clock.monotonic() + LAPSE_GRACE_S)
    book.remove("b", clock.monotonic() + LAPSE_GRACE_S)
    assert names(book) == {"a", "b"}
    book.put(endpoint("b"))
    clock.advance(LAPSE_GRACE_S + 0.1)
    assert names(book) == {"b"}


def test_failed_endpoint_pauses_longer_with_each_failure(book, clock):
    a = book.by_id["a"]
    book.note_failure(a, "reset", clock.monotonic())
    assert names(book) == {"b"}
    clock.advance(FIRST_PENALTY_S + 0.01)
    assert names(book) == {"a", "b"}
    book.note_failure(a, "reset", clock.monotonic())
    clock.advance(FIRST_PENALTY_S + 0.01)
    assert names(book) == {"b"}


def test_endpoint_that_did_other_work_is_not_suspected(book, clock):
    started = clock.monotonic()
    clock.advance(0.5)
    book.note_success(book.by_id["a"], 0.1)
    book.note_failure(book.by_id["a"], "timeout", started)
    assert names(book) == {"a", "b"}


def test_new_incarnation_starts_without_a_record(book, clock):
    book.note_failure(book.by_id["a"], "reset", clock.monotonic())
    book.put(endpoint("a", started_ms=2))
    assert names(book) == {"a", "b"}


def test_refusal_concerns_one_model(book):
    book.note_refusal(book.by_id["a"], "m1")
    assert names(book, model="m1") == {"b"}
    assert names(book, model="m2") == {"a", "b"}


def test_one_request_tries_an_endpoint_that_refused(book, clock):
    # Each of eight free slots sent an item to an engine that was loading:
    # 1,323 of 1,995 arrivals were refused (an incident of Temelna).
    a = book.by_id["a"]
    book.note_refusal(a, "m1")
    clock.advance(FIRST_REFUSAL_S + 0.01)
    assert names(book, model="m1") == {"a", "b"}
    book.begin(a, "m1")
    assert names(book, model="m1") == {"b"}
    book.note_start(a, "m1")
    assert names(book, model="m1") == {"a", "b"}


def test_running_streams_do_not_end_the_pause_after_a_refusal(book, clock):
    a = book.by_id["a"]
    book.note_refusal(a, "m1")
    book.note_success(a, 0.04)
    assert names(book, model="m1") == {"b"}
    assert book.reopens_in_s("engines") <= LAST_REFUSAL_S


def test_less_loaded_and_faster_endpoints_come_first(book):
    a, b = book.by_id["a"], book.by_id["b"]
    book.begin(a)
    assert book.candidates("engines")[0].id == "b"
    book.learn_from_peers(lambda: {"b": EndpointState(3)})
    assert book.candidates("engines")[0].id == "a"
    book.learn_from_peers(dict)
    book.end(a)
    book.note_success(a, 0.1)
    book.note_success(b, 0.4)
    assert book.candidates("engines")[0].id == "a"


def test_endpoint_that_fails_fast_draws_no_more_requests(book, clock):
    # An endpoint that answered each request with an error at once looked free
    # and quick, and got nearly all of them.
    a, b = book.by_id["a"], book.by_id["b"]
    for _ in range(8):
        book.note_success(a, 0.1)
        book.note_success(b, 0.1)
        book.note_outcome(a, has_failed=True)
        book.note_outcome(b, has_failed=False)
    book.begin(b)
    assert [found.id for found in book.candidates("engines")] == ["b", "a"]
    clock.advance(FAILURE_HALF_LIFE_S * 8)
    assert [found.id for found in book.candidates("engines")] == ["a", "b"]


def test_pace_that_peers_measure_now_goes_before_an_old_one(book, clock):
    a = book.by_id["a"]
    book.note_success(a, 0.1)
    book.learn_from_peers(lambda: {"a": EndpointState(1, 0.4)})
    assert book.pace(a) == 0.1
    clock.advance(PACE_FRESH_S + 0.1)
    assert book.pace(a) == 0.4
    book.learn_from_peers(lambda: {"a": EndpointState(1)})
    assert book.pace(a) == 0.1


def test_own_state_is_told_while_it_is_fresh(book, clock):
    a = book.by_id["a"]
    book.begin(a)
    book.note_success(a, 0.1)
    assert book.states_by_id() == {"a": EndpointState(1, 0.1)}
    clock.advance(PACE_FRESH_S + 0.1)
    assert book.states_by_id() == {"a": EndpointState(1)}
    book.end(a)
    assert book.states_by_id() == {}

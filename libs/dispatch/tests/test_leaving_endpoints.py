"""Endpoints that say in their responses that they leave get no new requests."""

import asyncio

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.leaving_check import LeavingCheck
from shallotstand.dispatch.leaving_endpoints import (
    ASK_AGAIN_S,
    LAST_RESORT_S,
    MEMORY_S,
)
from shallotstand.standins.memory_engines import MemoryEngines, make_endpoint

# An endpoint may get requests for this long after it has said that it leaves.
DRAIN_S = 2.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    registry = EndpointRegistry("zone-a", clock)
    for name in ("a", "b"):
        registry.update_endpoint(make_endpoint(name))
    return registry


def active(registry):
    return [endpoint.id for endpoint in registry.active("engines")]


def say_leaving(registry, *names):
    for name in names:
        registry.record_leaving(registry.by_id[name], "status 200")


def test_leaving_endpoint_gets_no_new_request(registry):
    say_leaving(registry, "a")
    assert active(registry) == ["b"]
    assert [e.id for e in registry.candidates("engines")] == ["b"]


def test_statement_outlives_the_entry(registry):
    # Guards against an endpoint that is used again since its entry was written
    # anew, or came back after an outage.
    say_leaving(registry, "a")
    registry.remove("a")
    registry.update_endpoint(make_endpoint("a", zone="zone-b"))
    assert active(registry) == ["b"]


def test_new_start_ends_the_statement(registry):
    say_leaving(registry, "a")
    registry.update_endpoint(make_endpoint("a", started_ms=2))
    assert sorted(active(registry)) == ["a", "b"]


def test_all_leaving_endpoints_are_used_for_a_moment(registry, clock):
    # Guards against callers who are refused while endpoints still serve, and
    # against requests that come to them too late.
    say_leaving(registry, "a", "b")
    assert sorted(active(registry)) == ["a", "b"]
    clock.advance(LAST_RESORT_S + 0.01)
    assert active(registry) == []
    assert not registry.has_endpoints("engines")
    assert LAST_RESORT_S < DRAIN_S


def test_listed_departure_is_never_a_last_resort(registry):
    say_leaving(registry, "a", "b")
    registry.update_endpoint(make_endpoint("a", is_leaving=True))
    assert active(registry) == ["b"]


def review_after(registry, clock, seconds, change=lambda _: None):
    engines = MemoryEngines()
    change(engines)
    clock.advance(seconds)
    asyncio.run(LeavingCheck(registry, engines).review())


def test_endpoint_that_was_mistaken_is_used_again(registry, clock):
    # Guards against an endpoint that is never used again, since one of its
    # responses said by mistake that it leaves.
    say_leaving(registry, "a")
    review_after(registry, clock, ASK_AGAIN_S - 0.1)
    assert active(registry) == ["b"]
    review_after(registry, clock, 0.2)
    assert sorted(active(registry)) == ["a", "b"]


@pytest.mark.parametrize(
    "change",
    [
        lambda engines: engines.leaving.add("a"),
        lambda engines: engines.start_by_endpoint.update(a=7),
        lambda engines: engines.start_by_endpoint.update(
            a=Failure(ResultCode.ENDPOINT_TIMEOUT, "silent")
        ),
    ],
    ids=["leaves", "another start", "silent"],
)
def test_endpoint_that_does_not_say_otherwise_still_leaves(
    registry, clock, change
):
    say_leaving(registry, "a")
    review_after(registry, clock, ASK_AGAIN_S + 0.1, change)
    assert active(registry) == ["b"]
    # It is asked again only after a while.
    review_after(registry, clock, ASK_AGAIN_S - 0.1)
    assert active(registry) == ["b"]
    review_after(registry, clock, 0.2)
    assert sorted(active(registry)) == ["a", "b"]


def test_statements_are_forgotten_in_the_end(registry, clock):
    # Guards against memory that grows with each endpoint that ever left.
    for number in range(50):
        name = f"old-{number}"
        registry.update_endpoint(make_endpoint(name))
        say_leaving(registry, name)
        registry.remove(name)
    clock.advance(MEMORY_S + 1.0)
    say_leaving(registry, "a")
    assert len(registry.leaving._by_start) == 1

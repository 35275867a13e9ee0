"""Thousands of endpoints, of which each process looks at a part."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.endpoint_list import PART_SIZE
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.standins.memory_engines import make_endpoint


@pytest.fixture
def clock():
    return ManualClock()


def candidate_ids(registry, **options):
    return {found.id for found in registry.candidates("engines", **options)}


def large_registry(clock, process_id, count=3000):
    registry = EndpointRegistry("zone-a", clock, process_id)
    for number in range(count):
        registry.update_endpoint(make_endpoint(f"e{number}"))
    return registry


def test_choice_among_thousands_looks_at_a_part(clock):
    # Guards against processor time for each request in proportion to the
    # endpoints, and against connections of each process to all of them.
    registry = large_registry(clock, "g1")
    looked_at = set()

    def is_usable(endpoint):
        looked_at.add(endpoint.id)
        return True

    chosen = registry.candidates("engines", is_usable=is_usable)
    assert len(looked_at) == len(chosen) == PART_SIZE


def test_processes_choose_from_different_parts(clock):
    # Guards against processes that all use the same few endpoints.
    parts = [
        {e.id for e in large_registry(clock, name, 600).candidates("engines")}
        for name in ("g1", "g2")
    ]
    assert len(parts[0] & parts[1]) < PART_SIZE / 2


def test_next_part_is_used_when_the_first_takes_nothing(clock):
    registry = large_registry(clock, "g1", 600)
    first = candidate_ids(registry)
    for endpoint_id in first:
        endpoint = registry.by_id[endpoint_id]
        registry.update_endpoint(endpoint._replace(is_leaving=True))
    second = candidate_ids(registry)
    assert len(second) == PART_SIZE
    assert not second & first
    third = candidate_ids(registry, excluded=frozenset(second))
    assert len(third) == PART_SIZE
    assert not third & (first | second)


def test_part_is_stable_while_other_endpoints_come_and_go(clock):
    # Guards against connections that are opened anew with each change.
    registry = large_registry(clock, "g1", 600)
    before = {e.id for e in registry.candidates("engines")}
    for number in range(600, 620):
        registry.update_endpoint(make_endpoint(f"e{number}"))
        registry.remove(f"e{number - 600}")
    after = {e.id for e in registry.candidates("engines")}
    assert len(before & after) >= PART_SIZE - 10


def test_endpoint_that_changes_its_service_is_listed_once(clock):
    registry = large_registry(clock, "g1", 3)
    registry.update_endpoint(make_endpoint("e1", service="other"))
    assert {e.id for e in registry.active("engines")} == {"e0", "e2"}
    assert {e.id for e in registry.active("other")} == {"e1"}

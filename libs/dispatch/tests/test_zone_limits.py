"""Zones that are evacuated, and requests that are limited to regions."""

import asyncio
import random

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.core.codes import ResultCode
from shallotstand.dispatch.config import ClientAccount
from shallotstand.dispatch.endpoint_client import (
    EndpointRequest,
    EndpointResponse,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import UnaryDispatcher
from shallotstand.dispatch.slots import ResourceRequest, SlotPool
from shallotstand.standins.memory_engines import (
    MemoryEngines,
    make_endpoint,
    make_route,
)

REGION_BY_ZONE = {"zone-a": "north", "zone-b": "south"}


@pytest.fixture
def registry():
    registry = EndpointRegistry(
        "zone-a", ManualClock(), region_by_zone=REGION_BY_ZONE
    )
    for name in "ab":
        registry.update_endpoint(make_endpoint(name, zone=f"zone-{name}"))
    return registry


def ids(endpoints):
    return {endpoint.id for endpoint in endpoints}


def test_evacuated_zone_gets_nothing_until_it_is_taken_back(registry):
    registry.zone_limits.begin_evacuation("zone-a")
    assert ids(registry.candidates("engines")) == {"b"}
    # Endpoints that join meanwhile get nothing either.
    registry.update_endpoint(make_endpoint("c", zone="zone-a"))
    assert ids(registry.candidates("engines")) == {"b"}
    registry.end_evacuation("zone-a")
    assert ids(registry.candidates("engines")) == {"a", "b", "c"}


def test_route_and_account_both_limit_the_regions(registry):
    south = ClientAccount("a", frozenset(), None, frozenset({"south"}))
    anywhere = ClientAccount("b", frozenset(), None)
    both = make_route(allowed_regions=frozenset({"north", "south"}))
    assert make_route().for_account(None).allowed_regions is None
    assert both.for_account(anywhere) is both
    assert make_route().for_account(south).allowed_regions == {"south"}
    assert both.for_account(south).allowed_regions == {"south"}
    north = make_route(allowed_regions=frozenset({"north"})).for_account(south)
    assert ids(registry.active("engines", north.allowed_regions)) == set()


def serve(registry, engines, route):
    dispatcher = UnaryDispatcher(
        registry, engines, registry._clock, random.Random(1)
    )
    request = EndpointRequest("POST", "/", "h", (), b"", "r1", None, True)
    return asyncio.run(dispatcher.serve(route, request, 1000.0, 1.0)).outcome


def test_request_stays_in_its_regions_through_retries(registry):
    # Guards against a retry that leaves the regions of a route.
    engines = MemoryEngines()
    engines.answer = lambda _: EndpointResponse(500, (), b"error", "seal")
    serve(registry, engines, make_route(allowed_regions=frozenset({"south"})))
    assert {call.endpoint for call in engines.sent} == {"b"}


def test_request_that_may_run_nowhere_is_refused_at_once(registry):
    # Guards against a caller who is kept waiting for a zone that the operator
    # has evacuated.
    registry.zone_limits.begin_evacuation("zone-b")
    engines = MemoryEngines()
    outcome = serve(
        registry, engines, make_route(allowed_regions=frozenset({"south"}))
    )
    assert outcome.code == ResultCode.NO_ENDPOINT
    assert engines.sent == []


def test_item_waits_for_an_engine_of_its_regions(registry):
    # Guards against an item that takes a slot in another region.
    async def scenario():
        pool = SlotPool(registry)
        item = ResourceRequest(
            "engines", "", 0, (0.0,), allowed_regions=frozenset({"south"})
        )
        first = await pool.acquire(item)
        await pool.acquire(item)
        waiting = asyncio.create_task(pool.acquire(item))
        await asyncio.sleep(0)
        assert first.id == "b"
        assert not waiting.done()
        registry.record_request_end(first)
        assert (await waiting).id == "b"

    asyncio.run(scenario())

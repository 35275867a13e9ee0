"""Requests for endpoints at their limit go elsewhere, wait or are refused."""

import asyncio
import random

import pytest
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route, RouteKind, RouteTarget
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import MAX_RETRY_AFTER_S, UnaryDispatcher
from shallotstand.dispatch.slots import ResourceRequest, SlotPool
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.dispatch.streams import CallerStream
from shallotstand.standins.memory_engines import (
    MemoryEngines,
    MemoryStream,
    MemoryStreamOrigins,
    make_endpoint,
    numbered_events,
)

REQUEST = EndpointRequest(
    "POST", "/a", "host.example", (), b"", "r1", None, True
)


def make_route(kind, **fields):
    return Route(
        **{
            "name": "route",
            "host": "host.example",
            "path_prefix": "/",
            "kind": kind,
            "targets": (RouteTarget("engines", 1.0),),
            "timeout_s": 5.0,
            "objective_s": 1.0,
            "priority": 5,
            "max_attempts": 3,
            "is_public": False,
            "is_resumable": True,
            "results_due_s": 0.0,
            "item_ttl_s": 0.0,
            "is_single_version": False,
            **fields,
        }
    )


class Environment:
    def __init__(self):
        self.clock = SystemClock()
        self.registry = EndpointRegistry("zone-a", self.clock, "g")
        self.engines = MemoryEngines()
        self.engines.stream = lambda _: MemoryStream(numbered_events(1, 1), 1)

    def add(self, name, limit=None):
        self.registry.update_endpoint(make_endpoint(name))
        self.state_limit(name, limit)

    def state_limit(self, name, limit):
        self.registry.record_response(name, limit, self.clock.monotonic())

    async def serve(self):
        dispatcher = UnaryDispatcher(
            self.registry, self.engines, self.clock, random.Random(1)
        )
        result = await dispatcher.serve(
            make_route(RouteKind.IDEMPOTENT),
            REQUEST,
            self.clock.monotonic(),
            4.0,
        )
        return result.outcome

    async def open_stream(self):
        stream = CallerStream(
            self.registry,
            self.engines,
            self.clock,
            make_route(RouteKind.STREAM),
            REQUEST,
            self.clock.monotonic() + 4.0,
            MemoryStreamOrigins(),
            StartCheck(self.engines),
        )
        failure = await stream.open()
        stream.close()
        return failure


@pytest.mark.parametrize("call", ["serve", "open_stream"])
def test_request_that_no_limit_allows_is_refused_at_once(call):
    # Guards against a caller who waits for what can't come in time, and
    # against a refusal of a request that was sent.
    async def scenario():
        environment = Environment()
        environment.add("a", 0.5)
        environment.add("b", 0.25)
        started = environment.clock.monotonic()
        failure = await getattr(environment, call)()
        assert environment.clock.monotonic() - started < 0.1
        assert isinstance(failure, Failure)
        assert failure.code == ResultCode.ENDPOINTS_AT_LIMIT
        assert 0 < failure.retry_after_s <= MAX_RETRY_AFTER_S
        assert environment.engines.sent == []

    asyncio.run(scenario())


@pytest.mark.parametrize("call", ["serve", "open_stream"])
def test_request_goes_to_an_endpoint_below_its_limit(call):
    async def scenario():
        environment = Environment()
        environment.add("a", 0.5)
        environment.add("b")
        for _ in range(5):
            await getattr(environment, call)()
        assert {sent.endpoint for sent in environment.engines.sent} == {"b"}

    asyncio.run(scenario())


def test_request_waits_for_a_share_that_comes_in_time():
    async def scenario():
        environment = Environment()
        environment.add("a", 20.0)
        assert (await environment.serve()).status == 200

    asyncio.run(scenario())


def test_item_waits_for_its_share_and_for_the_end_of_the_limit():
    # Guards against an item that nothing wakes once it may be sent.
    async def scenario():
        environment = Environment()
        environment.add("a", 4.0)
        pool = SlotPool(environment.registry)
        item = ResourceRequest("engines", "model", 1, (0.0,))
        assert (await asyncio.wait_for(pool.acquire(item), 1.0)).id == "a"
        environment.state_limit("a", 0.01)
        waiting = asyncio.create_task(pool.acquire(item))
        await asyncio.sleep(0.4)
        assert not waiting.done()
        environment.state_limit("a", None)
        assert (await asyncio.wait_for(waiting, 1.0)).id == "a"

    asyncio.run(scenario())


def test_endpoint_that_starts_anew_is_used_at_once():
    async def scenario():
        environment = Environment()
        environment.add("a", 0.01)
        assert isinstance(await environment.serve(), Failure)
        environment.registry.update_endpoint(make_endpoint("a", started_ms=2))
        assert (await environment.serve()).status == 200

    asyncio.run(scenario())


def test_running_items_compete_for_no_share():
    # Guards against a gateway whose items all run and that only looks for a
    # faster engine: the share that it took was missed by items that wait.
    async def scenario():
        environment = Environment()
        environment.add("a", 4.0)
        environment.add("b")
        for name in ("a", "b"):
            endpoint = environment.registry.by_id[name]
            environment.registry.record_success(endpoint, 0.1)
        pool = SlotPool(environment.registry)
        item = ResourceRequest("engines", "model", 1, (0.0,))
        slow = environment.registry.by_id["b"]
        assert pool.min_seconds_per_unit(item, slow) is None
        shares = environment.registry.request_shares.own_shares_by_id()
        assert not shares["a"].competitors

    asyncio.run(scenario())


def test_items_compete_for_no_endpoint_that_cannot_run_them():
    # Guards against shares of engines that have another model or an older
    # version: nobody used them while items that could waited.
    async def scenario():
        environment = Environment()
        environment.add("old", 4.0)
        environment.add("other", 4.0)
        environment.registry.update_endpoint(
            make_endpoint("other", version_by_model={"other": 9})
        )
        environment.registry.update_endpoint(
            make_endpoint("fit", version_by_model={"model": 2})
        )
        environment.state_limit("fit", 0.5)
        pool = SlotPool(environment.registry)
        item = ResourceRequest("engines", "model", 2, (0.0,))
        waiting = [asyncio.create_task(pool.acquire(item)) for _ in range(3)]
        await asyncio.sleep(0.1)
        shares = environment.registry.request_shares.own_shares_by_id()
        competing = {name: s.competitors for name, s in shares.items()}
        assert competing["fit"][0].waiting == 3
        assert not competing["old"]
        assert not competing["other"]
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    asyncio.run(scenario())

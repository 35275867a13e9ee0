"""Processes know where each other's streams began."""

import asyncio

import pytest
from shallotstand.core.clock import ManualClock, SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route, RouteKind, RouteTarget
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.stream_origins import StreamOrigin
from shallotstand.dispatch.stream_plan import RECORD_WINDOW_S
from shallotstand.peers import stream_origins
from shallotstand.peers.origin_records import ORIGINS_KIND
from shallotstand.peers.stream_origins import StoredStreamOrigins
from shallotstand.peers.stream_plans import PLANS_KIND
from shallotstand.standins.memory_documents import MemoryDocuments
from shallotstand.standins.memory_engines import make_endpoint

ROUTE = Route(
    name="stream",
    host="host.example",
    path_prefix="/",
    kind=RouteKind.STREAM,
    targets=(RouteTarget("engines", 1.0),),
    timeout_s=5.0,
    objective_s=1.0,
    priority=5,
    max_attempts=3,
    is_public=False,
    is_resumable=True,
    results_due_s=0.0,
    item_ttl_s=0.0,
    is_single_version=False,
)
STREAMS = [f"stream-{number}" for number in range(40)]


class Process:
    def __init__(
        self, store, instance="g0", versions=("old", "new"), clock=None
    ):
        clock = clock or SystemClock()
        self.registry = EndpointRegistry("zone-a", clock)
        self.set_versions(versions)
        self.origins = StoredStreamOrigins(
            store, self.registry, instance, clock
        )

    def set_versions(self, versions):
        for name in list(self.registry.by_id):
            self.registry.remove(name)
        for version in versions:
            self.registry.update_endpoint(
                make_endpoint(f"e-{version}", software_version=version)
            )

    async def begin(self, stream_id):
        return await self.origins.begin(
            stream_id, ROUTE, self.registry.candidates("engines")
        )

    async def find(self, stream_id):
        return await self.origins.find(stream_id, ROUTE)

    async def refresh(self, times):
        for _ in range(times):
            await self.origins._plans.refresh(lambda _: True)


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario(MemoryDocuments()), 10))


async def begin_all(process, streams=STREAMS):
    origins = await asyncio.gather(*map(process.begin, streams))
    assert not any(isinstance(origin, Failure) for origin in origins)
    return dict(zip(streams, origins, strict=True))


async def check_all(process, origin_by_stream):
    for stream_id, origin in origin_by_stream.items():
        assert await process.find(stream_id) == origin


def is_unknown(outcome):
    return (
        isinstance(outcome, Failure)
        and outcome.code == ResultCode.STREAM_ORIGIN_UNKNOWN
    )


def test_streams_are_known_to_processes_that_start_later():
    # Guards against streams that are known only to the process that began
    # them, and against a call to the store for each stream.
    async def scenario(store):
        began = await begin_all(Process(store))
        assert set(began.values()) == {
            StreamOrigin("engines", "old"),
            StreamOrigin("engines", "new"),
        }
        assert not store.call_counts["create", ORIGINS_KIND]
        await check_all(Process(store, "g1", versions=("next",)), began)

    run(scenario)


def test_streams_that_could_not_follow_the_plan_are_known():
    # Guards against a stream that begins elsewhere because the planned version
    # is away for a moment, and goes on where it was planned.
    async def scenario(store):
        process = Process(store)
        await process.begin("first")
        process.set_versions(("new",))
        began = await begin_all(process)
        assert set(began.values()) == {StreamOrigin("engines", "new")}
        assert store.call_counts["create", ORIGINS_KIND] == 1
        assert store.call_counts["replace", ORIGINS_KIND] <= 2
        await check_all(Process(store, "g1"), began)
        # The next process of the instance keeps the records.
        successor = Process(store, versions=("new",))
        began |= await begin_all(successor, ["later-1", "later-2", "later-3"])
        await check_all(Process(store, "g1"), began)

    run(scenario)


def test_streams_are_known_after_the_versions_have_changed():
    # Guards against streams whose origin is worked out from the plan of today.
    async def scenario(store):
        process = Process(store)
        began = await begin_all(process)
        for number, versions in enumerate((("new",), ("new", "next"))):
            process.set_versions(versions)
            await process.refresh(2)
            streams = [f"later-{number}-{stream}" for stream in STREAMS]
            began |= await begin_all(process, streams)
        document = await store.get(PLANS_KIND, "engines")
        assert len(document.spec["periods"]) == 3
        await check_all(Process(store, "g1"), began)

    run(scenario)


def test_process_that_was_away_knows_streams_of_a_later_plan():
    # Guards against a gateway that stood still, or was cut off from the store,
    # and works a stream's version out from the plan that it knew before.
    async def scenario(store):
        clock = ManualClock()
        process = Process(store, versions=("old",), clock=clock)
        away = Process(store, "g1", versions=("old",), clock=clock)
        await process.begin("first")
        assert await away.find("first") == StreamOrigin("engines", "old")
        process.set_versions(("new",))
        await process.refresh(2)
        clock.advance(RECORD_WINDOW_S + 1.0)
        await process.refresh(1)
        began = await begin_all(process)
        assert set(began.values()) == {StreamOrigin("engines", "new")}
        assert not store.call_counts["create", ORIGINS_KIND]
        await check_all(away, began)

    run(scenario)


def test_streams_begin_by_the_plan_while_the_store_is_away(monkeypatch):
    # Guards against an outage of the store that stops all streams, and against
    # one during which streams begin that nobody could continue.
    monkeypatch.setattr(stream_origins, "STORE_TIMEOUT_S", 0.1)

    async def scenario(store):
        process = Process(store)
        began = await begin_all(process)
        store.set_down(True)
        began |= await begin_all(process, ["later-1", "later-2"])
        process.set_versions(("other",))
        assert is_unknown(await process.begin("later-3"))
        store.set_down(False)
        await check_all(Process(store, "g1"), began)

    run(scenario)


def test_identifier_that_is_no_text_is_known():
    # Guards against an error for a caller's header that is no UTF-8.
    async def scenario(store):
        process = Process(store)
        began = await begin_all(process, ["\udcff", "\udcfe"])
        process.set_versions(("new",))
        began |= await begin_all(process, ["\udcfd", "\udcfc", "\udcfb"])
        await check_all(Process(store, "g1"), began)

    run(scenario)


def test_stream_of_which_nothing_is_known_is_refused():
    # Guards against a guess.
    async def scenario(store):
        process = Process(store)
        assert is_unknown(await process.find("never-begun"))
        assert is_unknown(await process.find(""))

    run(scenario)


@pytest.mark.parametrize(
    "spec",
    [
        None,
        [],
        {},
        {"periods": []},
        {"periods": [{"share_by_version": {}, "began_at": 1.0}]},
        {"periods": [{"share_by_version": {"a": 1e999}, "began_at": 1.0}]},
    ],
)
def test_odd_plan_refuses_streams_without_ending_the_process(spec):
    # Guards against a process that ends, or guesses, because of one odd entry.
    async def scenario(store):
        await store.create(PLANS_KIND, "engines", spec)
        process = Process(store)
        assert is_unknown(await process.begin("stream"))
        assert is_unknown(await process.find("other"))
        await process.refresh(2)

    run(scenario)


def test_odd_records_are_passed_over():
    # Guards against records that are lost because another one is odd.
    async def scenario(store):
        process = Process(store)
        await process.begin("first")
        process.set_versions(("new",))
        began = await begin_all(process, STREAMS[:3])
        await store.create(ORIGINS_KIND, "odd-1", [])
        await store.create(ORIGINS_KIND, "odd-2", {"x": {"at": "x"}, "y": 1})
        await check_all(Process(store, "g1"), began)

    run(scenario)

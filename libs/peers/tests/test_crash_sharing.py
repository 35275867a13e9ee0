"""Gateways know the requests that crash endpoints from each other."""

import asyncio
import contextlib

from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.crash_record import MAX_CRASHES, CrashRecord
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.documents.protocols import Change
from shallotstand.link.gateway_messages import Presence
from shallotstand.peers.crash_sharing import (
    CRASHES_KIND,
    REVIEW_INTERVAL_S,
    CrashSharing,
)
from shallotstand.peers.mesh import PeerMesh
from shallotstand.peers.registry import (
    GATEWAYS_KIND,
    PeerAddress,
    PeerRegistry,
)
from shallotstand.standins.memory_documents import MemoryDocuments
from shallotstand.standins.memory_engines import make_endpoint
from shallotstand.standins.processes import free_address

CRASHING = b"crashing"


class Gateway:
    """The crash record of a gateway, with its mesh and its store."""

    def __init__(self, store, instance, endpoints):
        host, _, port = str(free_address()).rpartition(":")
        address = PeerAddress(instance, f"{instance}.1", host, int(port))
        clock = SystemClock()
        self.registry = PeerRegistry(store, address)
        self.mesh = PeerMesh(
            address,
            self.registry,
            lambda: Presence(instance, address.process_id, True, ()),
            clock,
        )
        self.endpoints = EndpointRegistry("zone-a", clock)
        self.endpoints.by_id = endpoints
        self.record = CrashRecord(self.endpoints, clock)
        self.checked = []
        self.sharing = CrashSharing(
            self.record,
            self.endpoints,
            self.check_listening,
            self.mesh,
            store,
            instance,
            clock,
        )
        self.store = store

    async def check_listening(self, endpoint):
        self.checked.append(endpoint.id)

    async def start(self):
        await self.registry.register()
        await self.sharing.load()
        self.tasks = [
            asyncio.create_task(self.mesh.run()),
            asyncio.create_task(self.sharing.run()),
        ]

    async def meet(self):
        for document in (await self.store.list(GATEWAYS_KIND)).documents:
            self.registry.receive_change(Change(document, False))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def running(*gateways):
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.meet()
    try:
        yield
    finally:
        for gateway in gateways:
            await gateway.stop()


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


async def wait_until_connected(gateways):
    peers = len(gateways) - 1
    await wait_until(
        lambda: all(
            len(gateway.mesh._links_by_process) == peers for gateway in gateways
        )
    )


def make_endpoints():
    return {name: make_endpoint(name) for name in ("e1", "e2", "e3")}


def crash(gateway, name, endpoints):
    gateway.record.record_cut(CRASHING, endpoints[name])
    del endpoints[name]


def is_stored(store, instance):
    document = store._documents.get((CRASHES_KIND, instance))
    return document is not None and all(
        len(entries) == MAX_CRASHES for entries in document.spec.values()
    )


def is_refused(gateway):
    return gateway.record.refusal(CRASHING) is not None


def test_crashes_at_several_gateways_count_together():
    # Guards against a request that may crash endpoints once for each gateway,
    # and against one that stays refused after a gateway has seen it succeed.
    async def scenario():
        store, endpoints = MemoryDocuments(), make_endpoints()
        gateways = [Gateway(store, f"g{n}", endpoints) for n in range(3)]
        async with running(*gateways):
            await wait_until_connected(gateways)
            for gateway, name in zip(gateways, list(endpoints), strict=True):
                crash(gateway, name, endpoints)
            await wait_until(lambda: all(map(is_refused, gateways)))
            gateways[1].record.record_response(CRASHING)
            await wait_until(lambda: not any(map(is_refused, gateways)))

    asyncio.run(scenario())


def test_refused_connections_are_shared():
    # Guards against a request that one gateway releases, since the registry
    # still lists the endpoint, while another knows that it ended.
    async def scenario():
        store, endpoints = MemoryDocuments(), make_endpoints()
        gateways = [Gateway(store, f"g{n}", endpoints) for n in range(2)]
        async with running(*gateways):
            await wait_until_connected(gateways)
            gateways[0].record.record_cut(CRASHING, endpoints["e1"])
            gateways[0].endpoints.record_refused_connection("e1")
            await wait_until(
                lambda: (
                    [c.is_confirmed for c in gateways[1].record.crashes()]
                    == [True]
                )
            )

    asyncio.run(scenario())


def test_endpoints_of_a_suspected_request_are_checked():
    # Guards against a crash that nobody confirms, because no request happens to
    # go to the endpoint while it is away, and against a check for each cut.
    async def scenario():
        store, endpoints = MemoryDocuments(), make_endpoints()
        gateway = Gateway(store, "g0", endpoints)
        async with running(gateway):
            gateway.record.record_cut(CRASHING, endpoints["e1"])
            await asyncio.sleep(0)
            assert gateway.checked == []
            gateway.record.record_cut(CRASHING, endpoints["e2"])
            await asyncio.sleep(0.01)
            assert gateway.checked == ["e1", "e2"]

    asyncio.run(scenario())


def test_crashes_are_known_after_all_gateways_ended():
    # Guards against crashes that are kept in the memory of processes only.
    async def scenario():
        store, endpoints = MemoryDocuments(), make_endpoints()
        first = Gateway(store, "g0", endpoints)
        async with running(first):
            for name in list(endpoints):
                crash(first, name, endpoints)
            await wait_until(lambda: is_stored(store, "g0"))
        for instance in ("g0", "g1"):
            later = Gateway(store, instance, endpoints)
            async with running(later):
                assert is_refused(later)
                assert later.record.crash_count(CRASHING) == MAX_CRASHES

    asyncio.run(scenario())


def test_single_crashes_cost_no_call_to_the_store():
    # Guards against a write for each request that an engine's end cut off.
    async def scenario():
        store, endpoints = MemoryDocuments(), make_endpoints()
        gateway = Gateway(store, "g0", endpoints)
        async with running(gateway):
            for number in range(50):
                gateway.record.record_cut(b"%d" % number, endpoints["e1"])
            await asyncio.sleep(2 * REVIEW_INTERVAL_S)
            assert not store.call_counts["create", CRASHES_KIND]

    asyncio.run(scenario())


def test_odd_entries_in_the_store_are_passed_over():
    # Guards against a gateway that does not start because of one odd entry.
    async def scenario():
        store, endpoints = MemoryDocuments(), make_endpoints()
        entry = {"endpoint": "e1", "started_ms": 1, "is_confirmed": True}
        for number, spec in enumerate(
            (
                None,
                [],
                {"zz": []},
                {"00": 1},
                {"00": [{**entry, "ended_at": "x"}]},
                {"00": [{**entry, "ended_at": 1.0, "started_ms": 1e999}]},
            )
        ):
            await store.create(CRASHES_KIND, f"odd-{number}", spec)
        gateway = Gateway(store, "g0", endpoints)
        async with running(gateway):
            assert gateway.record.is_empty

    asyncio.run(scenario())

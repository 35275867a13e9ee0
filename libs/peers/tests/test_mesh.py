"""Gateways detect that a peer starts, loses the store, or ends."""

import asyncio

from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.slots import ResourceRequest, SlotPool
from shallotstand.documents.protocols import Change
from shallotstand.link.gateway_messages import EndpointUse, Presence
from shallotstand.peers.mesh import PRESENCE_INTERVAL_S, PeerMesh
from shallotstand.peers.registry import (
    GATEWAYS_KIND,
    PeerAddress,
    PeerRegistry,
)
from shallotstand.standins.memory_documents import MemoryDocuments
from shallotstand.standins.memory_engines import make_endpoint
from shallotstand.standins.processes import free_address


class Gateway:
    """A gateway's mesh and registry, without the rest of the process."""

    def __init__(self, store, instance, start_number=1):
        address = free_address()
        host, _, port = str(address).rpartition(":")
        self.own_address = PeerAddress(
            instance, f"{instance}.{start_number}", host, int(port)
        )
        self.reaches_store = True
        self.batches = ()
        self.uses = ()
        self.registry = PeerRegistry(store, self.own_address)
        self.mesh = PeerMesh(
            self.own_address, self.registry, self.presence, SystemClock()
        )
        self.store = store
        self.tasks = []

    def presence(self):
        return Presence(
            self.own_address.instance,
            self.own_address.process_id,
            self.reaches_store,
            self.uses,
            self.batches,
        )

    async def start(self):
        await self.registry.register()
        self.tasks.append(asyncio.create_task(self.mesh.run()))

    async def load_registry(self):
        for document in (await self.store.list(GATEWAYS_KIND)).documents:
            self.registry.receive_change(Change(document, False))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for link in list(self.mesh._links):
            await link.close()


def run(scenario, count=3):
    async def start():
        store = MemoryDocuments()
        gateways = [Gateway(store, f"node-{n}") for n in range(count)]
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.load_registry()
        try:
            await asyncio.wait_for(scenario(*gateways), 15)
        finally:
            for gateway in gateways:
                await gateway.stop()

    asyncio.run(start())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.02)


def all_connected(gateways):
    return all(
        gateway.mesh.is_process_available(other.own_address.process_id)
        for gateway in gateways
        for other in gateways
        if other is not gateway
    )


def test_all_gateways_agree_on_the_preferred_owner():
    async def scenario(*gateways):
        await wait_until(lambda: all_connected(gateways))
        for name in ("a", "b", "c", "d"):
            owners = {
                gateway.mesh.preferred_owner(name) for gateway in gateways
            }
            assert len(owners) == 1

    run(scenario)


def test_unchanged_batches_are_sent_once_and_kept():
    async def scenario(first, second):
        second.batches = ("one", "two")
        await wait_until(lambda: first.mesh.is_batch_claimed("two"))
        sent = []
        second.mesh.broadcast = sent.append
        second.mesh.broadcast_presence()
        assert sent[0].keeps_batches
        assert sent[0].batches == ()
        del second.mesh.broadcast
        await asyncio.sleep(PRESENCE_INTERVAL_S * 2)
        assert first.mesh.is_batch_claimed("two")
        second.batches = ("one",)
        await wait_until(lambda: not first.mesh.is_batch_claimed("two"))
        assert first.mesh.is_batch_claimed("one")

    run(scenario, 2)


def test_ended_process_becomes_unavailable_at_once():
    async def scenario(first, second, third):
        await wait_until(lambda: all_connected((first, second, third)))
        await second.stop()
        started = SystemClock().monotonic()
        await wait_until(
            lambda: (
                not first.mesh.is_process_available(
                    second.own_address.process_id
                )
                and not third.mesh.is_process_available(
                    second.own_address.process_id
                )
            )
        )
        assert SystemClock().monotonic() - started < 1.5

    run(scenario)


def test_process_without_the_store_gets_no_work():
    async def scenario(first, second):
        await wait_until(lambda: all_connected((first, second)))
        second.reaches_store = False
        await wait_until(
            lambda: (
                not first.mesh.is_process_available(
                    second.own_address.process_id
                )
            )
        )
        assert (
            first.mesh.preferred_owner("batch") == first.own_address.process_id
        )

    run(scenario, 2)


def test_peers_report_what_they_run():
    async def scenario(first, second):
        second.batches = ("batch",)
        second.uses = (EndpointUse("engine", 3),)
        await wait_until(lambda: first.mesh.is_batch_claimed("batch"))
        assert first.mesh.states_by_endpoint() == {"engine": EndpointState(3)}
        assert not second.mesh.is_batch_claimed("batch")

    run(scenario, 2)


def test_restarted_process_replaces_its_registration():
    async def scenario(first, second):
        restarted = Gateway(first.store, "node-1", start_number=2)
        await restarted.registry.register()
        await first.load_registry()
        assert (
            first.registry.addresses_by_instance["node-1"].process_id
            == "node-1.2"
        )

    run(scenario, 2)


def test_no_gateway_takes_over_batches_just_after_an_outage():
    # Gateways that regain the store at the same moment do not know this of each
    # other yet. Without a wait, several of them run the same batches.
    async def scenario(first, second):
        await wait_until(lambda: all_connected((first, second)))
        await wait_until(lambda: first.mesh.is_peer_view_complete)
        first.reaches_store = False
        await wait_until(lambda: not first.mesh.is_peer_view_complete)
        first.reaches_store = True
        await asyncio.sleep(0.8)
        assert not first.mesh.is_peer_view_complete
        await wait_until(lambda: first.mesh.is_peer_view_complete)

    run(scenario, 2)


def test_waiting_item_gets_a_slot_that_a_peer_releases():
    # Without the subscription to the mesh, a gateway without other work does
    # not notice that peers have released slots, and never runs its batch.
    async def scenario(first, second):
        await wait_until(lambda: all_connected((first, second)))
        endpoint_registry = EndpointRegistry("zone-a", SystemClock())
        endpoint_registry.update_endpoint(make_endpoint("engine", slots=2))
        endpoint_registry.set_peer_states_source(first.mesh.states_by_endpoint)
        pool = SlotPool(endpoint_registry)
        first.mesh.subscribe(pool.assign_free_slots)
        second.uses = (EndpointUse("engine", 2),)
        await wait_until(
            lambda: (
                first.mesh.states_by_endpoint().get("engine")
                == EndpointState(2)
            )
        )
        resource_request = ResourceRequest("engines", "model", 1, (0.0,))
        acquiring = asyncio.create_task(pool.acquire(resource_request))
        await asyncio.sleep(0.5)
        assert not acquiring.done()
        second.uses = ()
        assert (await asyncio.wait_for(acquiring, 3)).id == "engine"

    run(scenario, 2)


def test_presence_does_not_grow_with_the_square_of_the_peers():
    # Guards against processor time for presence messages in proportion to the
    # square of the number of gateways: 300 of them sent each other 224,000
    # messages a second.
    async def scenario():
        store = MemoryDocuments()
        gateway = Gateway(store, "g")
        sent_per_s = []
        for count in (10, 60, 300):
            for number in range(count):
                name = f"p{number}"
                gateway.registry.addresses_by_instance[name] = PeerAddress(
                    name, f"{name}.1", "127.0.0.1", 1
                )
            sent_per_s.append(count / gateway.mesh._presence_interval_s)
        assert gateway.mesh._presence_interval_s > PRESENCE_INTERVAL_S
        assert sent_per_s[0] == 10 / PRESENCE_INTERVAL_S
        assert sent_per_s[2] < 1.5 * sent_per_s[1]

    asyncio.run(scenario())


def test_claims_follow_what_peers_say_last():
    # Guards against a batch that nobody runs but an old presence claims.
    gateway = Gateway(MemoryDocuments(), "g")
    mesh = gateway.mesh

    def receive(*batches, node="p", reaches_store=True):
        mesh._receive_presence(
            Presence(node, f"{node}.1", reaches_store, (), batches)
        )

    receive("b1", "b2")
    receive("b2", node="q")
    assert mesh.is_batch_claimed("b1") and mesh.is_batch_claimed("b2")
    receive("b1")
    receive(node="q", reaches_store=False)
    assert not mesh.was_claimed("b2")
    receive("b1", reaches_store=False)
    assert mesh.was_claimed("b1") and not mesh.is_batch_claimed("b1")

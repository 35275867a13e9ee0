"""Assignment of slots while many items wait and many peers report."""

import asyncio

from shallotstand.core.clock import ManualClock
from shallotstand.dispatch import slots
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.slots import ResourceRequest, SlotPool
from shallotstand.standins.memory_engines import make_endpoint


class CountingRegistry(EndpointRegistry):
    """Counts how often the endpoints are ranked."""

    def __init__(self, clock):
        super().__init__("zone-a", clock)
        self.ranking_count = 0

    def candidates(self, *arguments, **options):
        self.ranking_count += 1
        return super().candidates(*arguments, **options)


def item(rank, model="m", avoided=""):
    return ResourceRequest("engines", model, 1, (float(rank),), avoided)


async def start_waiting(pool, count, **fields):
    tasks = [
        asyncio.create_task(pool.acquire(item(rank, **fields)))
        for rank in range(count)
    ]
    await asyncio.sleep(0)
    return tasks


async def cancel_all(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def make_pool(slots_by_engine):
    registry = CountingRegistry(ManualClock())
    for engine_id, slot_count in slots_by_engine.items():
        registry.update_endpoint(
            make_endpoint(
                engine_id, slots=slot_count, version_by_model={"m": 1}
            )
        )
    return SlotPool(registry), registry


def test_pass_over_waiting_items_ranks_the_endpoints_once():
    # Guards against processor time in proportion to waiting items times
    # endpoints for each event, while the engines are full.
    async def scenario():
        pool, registry = make_pool({f"e{n}": 1 for n in range(20)})
        tasks = await start_waiting(pool, 200)
        assert pool.waiting == 180
        registry.ranking_count = 0
        pool.assign_free_slots()
        assert registry.ranking_count == 1
        await cancel_all(tasks)

    asyncio.run(scenario())


def test_reports_in_quick_succession_cost_one_pass(monkeypatch):
    # Guards against a pass for each presence message of each peer.
    monkeypatch.setattr(slots, "ASSIGNMENT_DELAY_S", 0.01)

    async def scenario():
        pool, registry = make_pool({"e1": 1})
        tasks = await start_waiting(pool, 10)
        registry.ranking_count = 0
        for _ in range(100):
            pool.schedule_assignment()
        await asyncio.sleep(0.05)
        assert registry.ranking_count == 1
        await cancel_all(tasks)

    asyncio.run(scenario())


def test_slot_that_a_peer_releases_goes_to_a_waiting_item(monkeypatch):
    # Guards against items that wait although a slot is free.
    monkeypatch.setattr(slots, "ASSIGNMENT_DELAY_S", 0.01)

    async def scenario():
        pool, registry = make_pool({"e1": 2})
        running_at_peers = {"e1": EndpointState(2)}
        registry.set_peer_states_source(lambda: running_at_peers)
        (task,) = await start_waiting(pool, 1)
        running_at_peers.clear()
        pool.schedule_assignment()
        assert (await asyncio.wait_for(task, 1.0)).id == "e1"

    asyncio.run(scenario())


def test_lowest_ranks_get_the_slots_of_several_needs():
    # Guards against an item without a usable engine that keeps others waiting.
    async def scenario():
        pool, _ = make_pool({"e1": 3})
        other = asyncio.create_task(pool.acquire(item(-1.0, model="other")))
        tasks = await start_waiting(pool, 5)
        await asyncio.sleep(0)
        assert [task.done() for task in tasks] == [True] * 3 + [False] * 2
        assert not other.done()
        await cancel_all([other, *tasks])

    asyncio.run(scenario())

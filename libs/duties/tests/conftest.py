"""In-memory lease, store and engines for the tests of the duties."""

import asyncio
import enum

import pytest
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.duties.weight_updates import (
    EngineReport,
    OrderOutcome,
    WeightUpdater,
)
from shallotstand.standins.memory_documents import ANSWER_LOST, UNAVAILABLE
from shallotstand.standins.memory_engines import make_endpoint


class FakeLease:
    """A lease whose state is set by the test."""

    def __init__(self):
        self.is_held = True
        self.fencing_token = 7
        self.step_down_reason = ""
        self.call_budget_s = 3.0

    def step_down(self, reason):
        self.step_down_reason = reason
        self.is_held = False

    async def resign(self):
        self.is_held = False


class WriteFault(enum.Enum):
    """What happens to the next write of an instance."""

    LOST_ANSWER = "done, not answered"
    DROPPED = "not done, not answered"
    LATE = "done later, not answered"


class InstanceStore:
    """The store as one instance reaches it."""

    def __init__(self, store, late_writes):
        self._store = store
        self._late_writes = late_writes
        self.is_turned_away = False
        self.write_faults = []

    async def get(self, kind, name, may_be_stale=False):
        if self.is_turned_away:
            return UNAVAILABLE
        return await self._store.get(kind, name, may_be_stale)

    async def create(self, *arguments):
        return await self._write(self._store.create, arguments)

    async def replace(self, *arguments):
        return await self._write(self._store.replace, arguments)

    async def _write(self, write, arguments):
        if self.is_turned_away:
            return UNAVAILABLE
        fault = self.write_faults.pop() if self.write_faults else None
        if fault is WriteFault.LATE:
            self._late_writes.append((write, arguments))
        if fault in (WriteFault.LATE, WriteFault.DROPPED):
            return ANSWER_LOST
        outcome = await write(*arguments)
        return ANSWER_LOST if fault is WriteFault.LOST_ANSWER else outcome


class FakeEngines:
    """An `EngineControl` whose engines load weights in `load_s` seconds."""

    def __init__(self, endpoint_registry, load_s=0.05):
        self.endpoint_registry = endpoint_registry
        self.load_s = load_s
        self.versions_by_engine = {}
        self.orders_by_engine = {}
        self.sent_orders = []
        self.loading = 0
        self.max_concurrent_loads = 0
        self.lost_orders = 0
        self.outcome = OrderOutcome.ACCEPTED

    def add(self, engine_id, **version_by_model):
        self.versions_by_engine[engine_id] = version_by_model
        self.orders_by_engine[engine_id] = 0
        self.endpoint_registry.update_endpoint(
            make_endpoint(engine_id, version_by_model=version_by_model)
        )

    async def fetch_report(self, engine):
        return EngineReport(
            dict(self.versions_by_engine[engine.id]),
            self.orders_by_engine[engine.id],
            False,
        )

    async def send_order(self, engine, order):
        self.sent_orders.append((engine.id, order))
        if self.outcome is not OrderOutcome.ACCEPTED:
            return self.outcome
        if self.lost_orders:
            self.lost_orders -= 1
            return OrderOutcome.UNKNOWN
        if order.expected_orders != self.orders_by_engine[engine.id]:
            return OrderOutcome.CONFLICT
        self.orders_by_engine[engine.id] += 1
        self.loading += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self.loading)
        asyncio.get_running_loop().call_later(
            self.load_s, self._finish_load, engine.id, order
        )
        return OrderOutcome.ACCEPTED

    def _finish_load(self, engine_id, order):
        self.loading -= 1
        self.versions_by_engine[engine_id][order.model] = order.version


@pytest.fixture
def updater_setup(monkeypatch):
    monkeypatch.setattr(
        "shallotstand.duties.weight_updates.LOAD_DURATION_S", 0.06
    )
    monkeypatch.setattr("shallotstand.duties.weight_updates.BUSY_RETRY_S", 0.02)
    monkeypatch.setattr(
        "shallotstand.duties.weight_updates.POLL_INTERVAL_S", 0.01
    )
    monkeypatch.setattr(
        "shallotstand.duties.weight_updates.STEP_START_DELAY_S", 0.05
    )
    clock = SystemClock()
    endpoint_registry = EndpointRegistry("zone-a", clock)
    engines = FakeEngines(endpoint_registry)
    lease = FakeLease()
    return (
        WeightUpdater(endpoint_registry, engines, lease, clock),
        engines,
        lease,
    )

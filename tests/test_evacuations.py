"""Zones that the operator has evacuated, with real gateways.

The engines of a zone that is in use again are cold.
"""

import asyncio
import itertools
import time

import orjson
from shallotstand.standins.fleet import (
    Fleet,
    batch_submission,
    configuration,
    results_path,
    server_spec,
)
from shallotstand.standins.fleet_engine import FleetEngine

# The zone of the gateways, whose engines they prefer, and another one.
ZONE = "zone-a"
OTHER_ZONE = "zone-b"
# Changes of the operator's objects are in force everywhere within this time.
IN_FORCE_S = 2.0
COLD_REQUESTS_PER_S = 4.0
# What the platform allows a cold engine in any second, beside its rate.
COLD_OVERAGE = 1.5
COLD_SLACK = 5
MAX_IN_A_SECOND = COLD_REQUESTS_PER_S * COLD_OVERAGE + COLD_SLACK
COLD_S = 3.0
ITEMS = 60
INTERVAL_S = 0.02


def run_scenario(directory, scenario, engines):
    async def run_with_fleet():
        async with Fleet(directory, 3, more_engines=engines) as fleet:
            await asyncio.wait_for(scenario(fleet, *engines), 50)

    asyncio.run(run_with_fleet())


async def register(fleet, engine, **fields):
    spec = {**server_spec(engine), "zone": ZONE, **fields}
    await fleet.platform.put("servers", engine.name, spec)


class Callers:
    """Callers at all gateways; counts the statuses that they get."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count()
        self.statuses = []

    async def run_for(self, seconds):
        async with asyncio.TaskGroup() as group:
            for _ in range(int(seconds / INTERVAL_S)):
                group.create_task(self._call())
                await asyncio.sleep(INTERVAL_S)

    async def _call(self):
        number = next(self._numbers)
        gateway = self._fleet.gateways[number % len(self._fleet.gateways)]
        status, _ = await self._fleet.call(
            gateway, "POST", "/plain/a", f"r{number}", b"body"
        )
        self.statuses.append(status)


def set_cold_rate(fleet, service):
    spec = configuration(2)
    spec["services"] = [{"name": service, "cold_per_s": COLD_REQUESTS_PER_S}]
    return fleet.platform.put("config", "main", spec)


def test_evacuated_zone_gets_nothing_and_is_cold_afterwards(tmp_path):
    # Guards against requests to a zone that the operator has evacuated, and
    # against gateways that all return to it at once.
    async def scenario(fleet, engine):
        await register(fleet, engine)
        await register(fleet, fleet.plain_engine, zone=OTHER_ZONE)
        await set_cold_rate(fleet, "plain")
        callers = Callers(fleet)
        await callers.run_for(1.0)
        assert engine.limit.count()
        await fleet.platform.put("evacuations", ZONE, {})
        await callers.run_for(IN_FORCE_S)
        before = engine.limit.count()
        await callers.run_for(1.0)
        assert engine.limit.count() == before

        taken_back_at = time.monotonic()
        await fleet.platform.documents.delete("evacuations", ZONE)
        await callers.run_for(2.5)
        assert 0 < engine.limit.busiest_second(taken_back_at) <= MAX_IN_A_SECOND
        await callers.run_for(IN_FORCE_S)
        assert engine.limit.busiest_second(taken_back_at) > MAX_IN_A_SECOND
        assert set(callers.statuses) == {200}

    engine = FleetEngine("p2", pause_s=0.01, service="plain")
    run_scenario(tmp_path, scenario, (engine,))


def test_new_engine_is_not_overrun_by_waiting_items(tmp_path):
    # Guards against gateways that fill the slots of an engine which has just
    # joined, all at the same moment.
    async def scenario(fleet, engine):
        await set_cold_rate(fleet, "engines")
        await fleet.platform.documents.delete("servers", engine.name)
        await asyncio.sleep(IN_FORCE_S)
        before = engine.limit.count()
        for number, gateway in enumerate(fleet.gateways):
            body = batch_submission(ITEMS, id_prefix=f"b{number}-")
            status, _ = await fleet.call(
                gateway,
                "POST",
                "/rollouts/1",
                f"b{number}",
                orjson.dumps(body),
            )
            assert status == 202
        await register(fleet, engine, cold_remaining_ms=int(COLD_S * 1000))
        await asyncio.sleep(COLD_S - 0.5)
        assert before < engine.limit.count()
        assert engine.limit.busiest_second() <= MAX_IN_A_SECOND
        for number, gateway in enumerate(fleet.gateways):
            await wait_for_results(fleet, gateway, f"b{number}")

    engine = FleetEngine("e3", event_count=8, pause_s=0.05)
    run_scenario(tmp_path, scenario, (engine,))


async def wait_for_results(fleet, gateway, batch_id):
    total = None
    position = 0
    while position != total:
        _, page = await fleet.call(
            gateway, "GET", results_path(batch_id, position)
        )
        page = orjson.loads(page)
        total, position = page["total"], page["next"]

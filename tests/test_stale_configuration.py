"""Work that was accepted under a newer configuration than a gateway knows.

Each test runs real gateways; the store is silent for one of them while the
operator adds a route.
"""

import asyncio

import orjson
import pytest
from shallotstand.standins.fleet import (
    Fleet,
    batch_submission,
    configuration,
    results_path,
)
from shallotstand.standins.fleet_engine import FleetEngine
from shallotstand.standins.proxy import Mode

SILENCE_S = 5.0
# Time within which an accepted configuration is in force at gateways that
# reach the store.
IN_FORCE_WITHIN_S = 2.1
# Items that fill the engines, so that a batch that comes meanwhile is handed
# over to the gateway that runs none.
EARLIER_ITEMS = 40
ENGINE_SLOTS = 32
LATER_ITEMS = 8
# A text takes 3 s, so that no peer completes the batch before the store answers
# the gateway again.
EVENTS = 60
LATER_PREFIX = "/rollouts-later/"


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def run_scenario(directory, scenario, gateways=2):
    async def run_with_fleet():
        more_engines = tuple(FleetEngine(name) for name in ("e3", "e4"))
        async with Fleet(
            directory, gateways, more_engines=more_engines, has_proxies=True
        ) as fleet:
            for engine in (*fleet.engines, *more_engines):
                engine.event_count = EVENTS
            await asyncio.wait_for(scenario(fleet), 50)

    asyncio.run(run_with_fleet())


def with_later_route():
    """Returns a newer configuration that has one more route and key."""
    newer = configuration(2, ("key-1", "key-2"))
    rollouts = newer["routes"][0]
    later = {**rollouts, "name": "later", "path_prefix": LATER_PREFIX}
    return {**newer, "routes": [*newer["routes"], later]}


def later_submission():
    fields = batch_submission(LATER_ITEMS, id_prefix="later-")
    for item in fields["items"]:
        item["path"] = item["path"].replace("/rollouts/", LATER_PREFIX)
    return orjson.dumps(fields)


async def read_states(fleet, gateway, batch_id, count):
    """Reads the results of a batch until all are listed."""
    states = []
    async with asyncio.timeout(20):
        while len(states) < count:
            status, body = await fleet.call(
                gateway, "GET", results_path(batch_id, len(states))
            )
            if status == 200:
                results = orjson.loads(body)["results"]
                states += [result["state"] for result in results]
            await asyncio.sleep(0.1)
    return states


def test_batch_is_not_lost_at_a_gateway_without_its_route(directory):
    # Guards against a gateway that lists all items of a batch as lost, since
    # it has not heard of the route under which a peer has accepted the batch.
    async def scenario(fleet):
        await asyncio.sleep(2.0)
        stale = await fleet.wait_for_watcher()
        (current,) = set(fleet.gateways) - {stale}
        stale.store_proxy.set_mode(Mode.SILENT)
        await fleet.platform.put("config", "main", with_later_route())
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        earlier = batch_submission(EARLIER_ITEMS, id_prefix="earlier-")
        status, _ = await fleet.call(
            current, "POST", "/rollouts/1", "earlier", orjson.dumps(earlier)
        )
        assert status == 202
        engines = (*fleet.engines, *fleet.more_engines)
        await fleet.wait_until(
            lambda: (
                sum(len(e.started_requests) for e in engines) >= ENGINE_SLOTS
            )
        )
        status, _ = await fleet.call(
            current, "POST", f"{LATER_PREFIX}1", "later", later_submission()
        )
        assert status == 202
        await fleet.call(current, "DELETE", "/shallotstand/lots/earlier")
        await asyncio.sleep(SILENCE_S - IN_FORCE_WITHIN_S)
        stale.store_proxy.heal()
        states = await read_states(fleet, current, "later", LATER_ITEMS)
        # The batch has been handed over, or nothing was tried.
        assert "Batch handed over" in current.log_path.read_text("utf-8")
        assert states == ["completed"] * LATER_ITEMS

    run_scenario(directory, scenario)


def test_gateway_out_of_date_refuses_nothing_for_good(directory):
    # Guards against callers that give up a new route or key, since a gateway
    # that has not heard of it says that it does not exist.
    async def scenario(fleet):
        (gateway,) = fleet.gateways
        gateway.store_proxy.set_mode(Mode.SILENT)
        await fleet.platform.put("config", "main", with_later_route())
        await asyncio.sleep(IN_FORCE_WITHIN_S)

        async def status_of(path, key="key-1", method="POST"):
            status, _ = await fleet.call(gateway, method, path, key=key)
            return status

        assert await status_of("/plain/a") == 200
        assert await status_of("/plain/a", key="key-2") == 503
        assert await status_of(LATER_PREFIX) == 503
        assert await status_of(results_path("b", 0), "key-2", "GET") == 503
        gateway.store_proxy.heal()
        await fleet.wait_until(
            lambda: "Regained the store" in gateway.log_path.read_text("utf-8")
        )
        assert await status_of("/plain/a", key="key-2") == 200
        assert await status_of("/plain/a", key="key-3") == 401
        assert await status_of("/unknown/") == 404

    run_scenario(directory, scenario, gateways=1)

"""Batches of real gateways whose route the operator changes or removes."""

import asyncio
import pathlib
import time

import orjson
import pytest
from shallotstand.standins.fleet import (
    Fleet,
    Machine,
    batch_submission,
    configuration,
    results_path,
)

ITEMS = 8
# Time after which a configuration is in force, and some room.
IN_FORCE_S = 2.5
KEYS = ("key-1", "key-2")
OTHER_ACCOUNT = {"name": "other", "api_keys": ["other-key"]}


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def changed_configuration(version, change):
    """Returns a configuration whose route for batches differs."""
    fields = configuration(version, KEYS)
    rollouts, *others = fields["routes"]
    routes = {
        "removed": [],
        "put back": [rollouts],
        "split": [
            rollouts,
            {**rollouts, "name": "half", "path_prefix": "/rollouts/1/"},
        ],
        "moved": [{**rollouts, "service": "plain"}],
        "at another host": [{**rollouts, "host": "other.example"}],
    }[change]
    return {
        **fields,
        "routes": [*routes, *others],
        "tenants": [*fields["tenants"], OTHER_ACCOUNT],
    }


async def read_results(fleet, gateway, batch_id="batch", key=KEYS[0]):
    """Returns the status and the results of a read from the start."""
    status, body = await fleet.call(
        gateway, "GET", results_path(batch_id, 0), key=key
    )
    return status, orjson.loads(body).get("results")


async def wait_for_results(fleet, gateway, batch_id):
    async with asyncio.timeout(20):
        while True:
            status, results = await read_results(fleet, gateway, batch_id)
            if status == 200 and len(results) == ITEMS:
                return results
            await asyncio.sleep(0.1)


async def submit(fleet, batch_id, gateway=None):
    fields = batch_submission(ITEMS, id_prefix=f"{batch_id}-")
    status, _ = await fleet.call(
        gateway or fleet.gateways[0],
        "POST",
        "/rollouts/1",
        batch_id,
        orjson.dumps(fields),
    )
    assert status == 202


async def add_gateway(fleet, directory: pathlib.Path, name: str) -> Machine:
    """Starts a gateway that knows nothing of what came before."""
    gateway = Machine(name, "gateway", directory)
    fleet.gateways.append(gateway)
    await gateway.start(fleet.address)
    return gateway


def test_batch_outlives_each_change_of_its_route(directory):
    # Guards against results, bodies and ends that callers get no more once the
    # operator has removed, split or moved the route that accepted a batch.
    async def scenario(fleet):
        await fleet.platform.put(
            "config", "main", changed_configuration(2, "put back")
        )
        await submit(fleet, "batch")
        known = await wait_for_results(fleet, fleet.gateways[0], "batch")
        item_path = "/shallotstand/items/batch?id=batch-item-0"
        changes = ("removed", "split", "moved", "at another host", "put back")
        for version, change in enumerate(changes, 3):
            await fleet.platform.put(
                "config", "main", changed_configuration(version, change)
            )
            await asyncio.sleep(IN_FORCE_S)
            if change == "removed":
                await add_gateway(fleet, directory, "gateway-new")
            for gateway in fleet.gateways:
                for key in KEYS:
                    answer = await read_results(fleet, gateway, key=key)
                    assert answer == (200, known), (change, gateway.node)
                body = await fleet.call(gateway, "GET", item_path)
                assert body == (200, b"\xab\xcd\xef"), (change, gateway.node)
                await submit(fleet, "batch", gateway)
                for path in (results_path("batch", 0), item_path):
                    status, _ = await fleet.call(
                        gateway, "GET", path, key=OTHER_ACCOUNT["api_keys"][0]
                    )
                    assert status == 404, (change, gateway.node)
                    status, _ = await fleet.call(gateway, "GET", path, key="x")
                    assert status == 401, (change, gateway.node)

    run_scenario(directory, scenario)


def test_open_batch_is_ended_after_its_route_is_removed(directory):
    # Guards against a batch that its account can't end, and a wait for results
    # that is answered with 404.
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.event_count = 400
        await submit(fleet, "batch")
        waiting = asyncio.create_task(
            fleet.exchange(
                fleet.gateways[1], "GET", results_path("batch", 0), "wait"
            )
        )
        await fleet.platform.put(
            "config", "main", changed_configuration(2, "removed")
        )
        assert (await waiting).status == 200
        await asyncio.sleep(IN_FORCE_S)
        new = await add_gateway(fleet, directory, "gateway-new")
        for gateway in (new, *fleet.gateways):
            status, _ = await fleet.call(
                gateway, "DELETE", "/shallotstand/lots/batch", key=KEYS[1]
            )
            assert status == 200
            status, _ = await read_results(fleet, gateway)
            assert status == 200

    run_scenario(directory, scenario)


def test_items_stop_once_their_route_is_of_another_kind(directory):
    # Guards against items that run as requests of a service that accepts no
    # batches, once that has the path of the batch.
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.event_count = 100
        await submit(fleet, "batch")
        fields = configuration(2, KEYS)
        rollouts, *others = fields["routes"]
        plain = {
            **next(r for r in others if r["name"] == "plain"),
            "name": "new",
            "path_prefix": rollouts["path_prefix"],
        }
        await fleet.platform.put(
            "config", "main", {**fields, "routes": [plain, *others]}
        )
        await asyncio.sleep(IN_FORCE_S)
        for engine in fleet.engines:
            engine.events_until_break = 1
        changed_at = time.monotonic()
        while time.monotonic() - changed_at < IN_FORCE_S:
            assert not [
                request
                for request in fleet.plain_engine.started_requests
                if request.startswith("batch-item-")
            ]
            await asyncio.sleep(0.1)
        assert (await read_results(fleet, fleet.gateways[0]))[0] == 200

    run_scenario(directory, scenario)


def run_scenario(directory, scenario):
    async def run_with_fleet():
        async with Fleet(directory) as fleet:
            await asyncio.wait_for(scenario(fleet), 55)

    asyncio.run(run_with_fleet())

"""The real programs on stand-ins of the platform, with kills and stops."""

import asyncio
import signal
import time

import orjson
import pytest
from shallotstand.standins.fleet import (
    WINDOW_S,
    Fleet,
    batch_submission,
    configuration,
)

BATCH_PATH = "/shallotstand/lots/b1"


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def run_scenario(directory, scenario):
    async def run_with_fleet():
        async with Fleet(directory) as fleet:
            await asyncio.wait_for(scenario(fleet), 50)

    asyncio.run(run_with_fleet())


async def submit_batch(fleet, gateway, item_count=12):
    body = orjson.dumps(batch_submission(item_count))
    return await fleet.call(gateway, "POST", "/rollouts/1", "b1", body)


async def read_all_results(fleet, gateway, item_count=12):
    results = []
    while len(results) < item_count:
        status, body = await fleet.call(
            gateway, "GET", f"{BATCH_PATH}?after={len(results)}"
        )
        assert status == 200
        results += orjson.loads(body)["results"]
    return results


def check_results(fleet, results):
    assert len({result["id"] for result in results}) == len(results)
    for result in results:
        assert result["state"] == "completed"
        assert result["text"] == fleet.engines[0].item_text(result["id"])
        number = result["id"].removeprefix("item-")
        assert result["score"] == f"seal-score-{number}"


def test_plain_call_and_batch_succeed(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        status, body = await fleet.call(
            first, "POST", "/plain/a", body=b"question"
        )
        assert (status, body) == (200, b"question")
        assert (await submit_batch(fleet, first))[0] == 202
        assert (await submit_batch(fleet, second))[0] == 202
        results = await read_all_results(fleet, second)
        check_results(fleet, results)
        assert results == await read_all_results(fleet, first)
        for gateway in (first, second, first):
            assert (await fleet.call(gateway, "DELETE", BATCH_PATH))[0] == 200

    run_scenario(directory, scenario)


def test_batch_of_killed_gateway_finishes_elsewhere(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        assert (await submit_batch(fleet, first))[0] == 202
        await asyncio.sleep(0.5)
        await first.stop(signal.SIGKILL)
        check_results(fleet, await read_all_results(fleet, second))

    run_scenario(directory, scenario)


def test_batch_survives_the_end_of_all_gateways(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        assert (await submit_batch(fleet, first))[0] == 202
        await asyncio.sleep(0.3)
        await asyncio.gather(
            *(machine.stop(signal.SIGKILL) for machine in fleet.gateways)
        )
        await second.start(fleet.address)
        check_results(fleet, await read_all_results(fleet, second))

    run_scenario(directory, scenario)


def test_terminated_gateway_finishes_its_requests(directory):
    async def scenario(fleet):
        first, _ = fleet.gateways
        fleet.plain_engine._pause_s = 0.8
        calls = [
            asyncio.create_task(
                fleet.call(first, "POST", "/plain/a", f"r{number}")
            )
            for number in range(5)
        ]
        await fleet.wait_until(
            lambda: len(fleet.plain_engine.started_requests) == 5
        )
        assert await first.stop(signal.SIGTERM) == 0
        assert [(await call)[0] for call in calls] == [200] * 5

    run_scenario(directory, scenario)


def test_withdrawn_key_stops_working(directory):
    async def scenario(fleet):
        first, _ = fleet.gateways
        assert (await fleet.call(first, "POST", "/plain/a"))[0] == 200
        await fleet.platform.put("config", "main", configuration(2, ("key-2",)))
        await asyncio.sleep(1.0)
        assert (await fleet.call(first, "POST", "/plain/a"))[0] == 401
        response = await fleet.call(first, "POST", "/plain/a", key="key-2")
        assert response[0] == 200

    run_scenario(directory, scenario)


def test_new_version_is_ordered_by_one_duty_holder(directory):
    async def scenario(fleet):
        await fleet.platform.put(
            "versions", "model", {"model": "model", "version": 2}
        )
        await fleet.wait_until(
            lambda: all(engine.version == 2 for engine in fleet.engines)
        )
        holders = {
            order[:2]
            for engine in fleet.engines
            for order in engine.accepted_orders
        }
        assert len(holders) == 1

    run_scenario(directory, scenario)


def test_usage_is_reported_once_through_the_end_of_the_holder(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        for number in range(10):
            gateway = (first, second)[number % 2]
            await fleet.call(gateway, "POST", "/plain/a", f"r{number}")
        last_window = int(time.time() // WINDOW_S)
        reports = fleet.platform.reports
        await fleet.wait_until(
            lambda: any(counts for _, counts, _, _ in reports)
        )
        holder = reports[-1][2]
        for keeper in fleet.keepers:
            if keeper.node == holder:
                await keeper.stop(signal.SIGKILL)
        # The calls may straddle the end of a window, and the new holder sends
        # the reports of its predecessor again before it creates new ones.
        await fleet.wait_until(
            lambda: any(
                window > last_window and sender != holder
                for window, _, sender, _ in reports
            ),
            20,
        )
        counts_by_window = {}
        for window, counts, _, _ in reports:
            assert counts_by_window.setdefault(window, counts) == counts
        total = sum(
            counts.get("account", 0) for counts in counts_by_window.values()
        )
        assert total == 10

    run_scenario(directory, scenario)


# What other programs write, and what this one writes to the store itself.
KINDS = (
    "servers",
    "versions",
    "retirements",
    "gateways",
    "batch-log",
    "batch-results",
    "batch-progress",
    "usage-counts",
)
MALFORMED = (
    None,
    "text",
    7,
    [],
    {},
    {"service": 7, "address": None, "version": "x", "model": 3, "windows": 1},
    {"address": "no port", "slots": -1, "state": [], "models": {"a": 1}},
)


def test_malformed_objects_end_no_process(directory):
    # Guards against an unreadable object that ends every process that reads
    # it, again after each restart.
    async def scenario(fleet):
        for kind in KINDS:
            for number, spec in enumerate(MALFORMED):
                await fleet.platform.put(kind, f"odd-{number}.0", spec)
        await asyncio.sleep(WINDOW_S + 2.5)
        machines = (*fleet.gateways, *fleet.keepers)
        assert [m.process.returncode for m in machines] == [None] * 4
        for machine in machines:
            log = machine.log_path.read_text()
            assert "A task has failed" not in log, machine.node
        first, second = fleet.gateways
        assert (await submit_batch(fleet, first))[0] == 202
        check_results(fleet, await read_all_results(fleet, second))
        await fleet.platform.put(
            "versions", "model", {"model": "model", "version": 2}
        )
        await fleet.wait_until(
            lambda: all(engine.version == 2 for engine in fleet.engines)
        )

    run_scenario(directory, scenario)


def test_retirement_of_keeper_is_completed_by_other_keeper(directory):
    async def scenario(fleet):
        for keeper in fleet.keepers:
            name = keeper.node
            await fleet.platform.put("retirements", name, {"duration_s": 5})
        state_by_keeper = {}

        async def wait_for_status():
            while len(state_by_keeper) < 1:
                for keeper in fleet.keepers:
                    document = await fleet.platform.documents.get(
                        "retirements", keeper.node
                    )
                    if document.status:
                        state_by_keeper[keeper.node] = document.status["state"]
                await asyncio.sleep(0.1)

        await asyncio.wait_for(wait_for_status(), 15)
        assert set(state_by_keeper.values()) == {"completed"}

    run_scenario(directory, scenario)

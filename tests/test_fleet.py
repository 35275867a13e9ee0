"""The real programs on stand-ins of the platform, through kills and stops."""

import asyncio
import signal

import orjson
import pytest
from shallotstand.standins.fleet import Fleet, batch, configuration

BATCH = "/shallotstand/lots/b1"


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def run(directory, scenario):
    async def start():
        async with Fleet(directory) as fleet:
            await asyncio.wait_for(scenario(fleet), 50)

    asyncio.run(start())


async def submit(fleet, gateway, items=12):
    body = orjson.dumps(batch(items))
    return await fleet.call(gateway, "POST", "/rollouts/1", "b1", body)


async def read_all(fleet, gateway, items=12):
    results = []
    while len(results) < items:
        status, body = await fleet.call(
            gateway, "GET", f"{BATCH}?after={len(results)}"
        )
        assert status == 200
        results += orjson.loads(body)["results"]
    return results


def check(fleet, results):
    assert len({result["id"] for result in results}) == len(results)
    for result in results:
        assert result["state"] == "completed"
        assert result["text"] == fleet.engines[0].text(result["id"])
        number = result["id"].removeprefix("item-")
        assert result["score"] == f"seal-score-{number}"


def test_whole_path(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        status, body = await fleet.call(
            first, "POST", "/plain/a", body=b"question"
        )
        assert (status, body) == (200, b"question")
        assert (await submit(fleet, first))[0] == 202
        assert (await submit(fleet, second))[0] == 202
        results = await read_all(fleet, second)
        check(fleet, results)
        assert results == await read_all(fleet, first)
        for gateway in (first, second, first):
            assert (await fleet.call(gateway, "DELETE", BATCH))[0] == 200

    run(directory, scenario)


def test_killed_gateways_batch_is_finished_elsewhere(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        assert (await submit(fleet, first))[0] == 202
        await asyncio.sleep(0.5)
        await first.end(signal.SIGKILL)
        check(fleet, await read_all(fleet, second))

    run(directory, scenario)


def test_batch_survives_the_end_of_all_processes(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        assert (await submit(fleet, first))[0] == 202
        await asyncio.sleep(0.3)
        await asyncio.gather(
            *(machine.end(signal.SIGKILL) for machine in fleet.gateways)
        )
        await second.start(fleet.address)
        check(fleet, await read_all(fleet, second))

    run(directory, scenario)


def test_stopped_gateway_finishes_its_requests(directory):
    async def scenario(fleet):
        first, _ = fleet.gateways
        fleet.plain._pause_s = 0.8
        calls = [
            asyncio.create_task(
                fleet.call(first, "POST", "/plain/a", f"r{number}")
            )
            for number in range(5)
        ]
        await fleet.until(lambda: len(fleet.plain.runs) == 5)
        assert await first.end(signal.SIGTERM) == 0
        assert [(await call)[0] for call in calls] == [200] * 5

    run(directory, scenario)


def test_withdrawn_key_stops_working(directory):
    async def scenario(fleet):
        first, _ = fleet.gateways
        assert (await fleet.call(first, "POST", "/plain/a"))[0] == 200
        await fleet.platform.put("config", "main", configuration(2, ("key-2",)))
        await asyncio.sleep(1.0)
        assert (await fleet.call(first, "POST", "/plain/a"))[0] == 401
        new = await fleet.call(first, "POST", "/plain/a", key="key-2")
        assert new[0] == 200

    run(directory, scenario)


def test_named_version_is_loaded_by_one_holder(directory):
    async def scenario(fleet):
        await fleet.platform.put(
            "versions", "model", {"model": "model", "version": 2}
        )
        await fleet.until(
            lambda: all(engine.version == 2 for engine in fleet.engines)
        )
        holders = {
            order[:2] for engine in fleet.engines for order in engine.orders
        }
        assert len(holders) == 1

    run(directory, scenario)


def test_usage_is_reported_once_through_the_end_of_the_holder(directory):
    async def scenario(fleet):
        first, second = fleet.gateways
        for number in range(10):
            gateway = (first, second)[number % 2]
            await fleet.call(gateway, "POST", "/plain/a", f"r{number}")
        reports = fleet.platform.reports
        await fleet.until(lambda: any(counts for _, counts, _, _ in reports))
        holder = reports[-1][2]
        for keeper in fleet.keepers:
            if keeper.node == holder:
                await keeper.end(signal.SIGKILL)
        await fleet.until(lambda: reports[-1][2] != holder, 20)
        counts_by_window = {}
        for window, counts, _, _ in reports:
            assert counts_by_window.setdefault(window, counts) == counts
        total = sum(
            counts.get("account", 0) for counts in counts_by_window.values()
        )
        assert total == 10

    run(directory, scenario)


def test_retired_machine_is_answered_by_the_other_keeper(directory):
    async def scenario(fleet):
        for keeper in fleet.keepers:
            name = keeper.node
            await fleet.platform.put("retirements", name, {"duration_s": 5})
        states = {}

        async def look():
            while len(states) < 1:
                for keeper in fleet.keepers:
                    document = await fleet.platform.documents.get(
                        "retirements", keeper.node
                    )
                    if document.status:
                        states[keeper.node] = document.status["state"]
                await asyncio.sleep(0.1)

        await asyncio.wait_for(look(), 15)
        assert set(states.values()) == {"completed"}

    run(directory, scenario)

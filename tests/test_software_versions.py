"""Streams and items hold events of one software version of a service only.

Each test runs several real gateways on engines of two software versions.
"""

import asyncio
import contextlib
import itertools
import random
import signal

import aiohttp
import orjson
import pytest
from shallotstand.standins.fleet import (
    Fleet,
    batch_submission,
    results_path,
)

from soak.streams import EVENTS, StreamClient, make_writers

GATEWAYS = 3
STREAMS = 24
REFUSED_WITHIN_S = 0.5


def run_scenario(directory, scenario, writers=None):
    async def run_with_fleet():
        engines = make_writers() if writers is None else writers
        async with Fleet(directory, GATEWAYS, more_engines=engines) as fleet:
            await asyncio.wait_for(scenario(fleet), 50)

    asyncio.run(run_with_fleet())


def make_clients(fleet, count=STREAMS, seed=1, prefix="s"):
    rng = random.Random(seed)
    return [StreamClient(fleet, f"{prefix}{n}", rng) for n in range(count)]


def joined(clients):
    return [client for client in clients if len(client.software_versions) > 1]


async def kill_all(fleet):
    for gateway in fleet.gateways:
        gateway.process.send_signal(signal.SIGKILL)
    for gateway in fleet.gateways:
        await gateway.process.wait()


async def restart_all(fleet):
    await kill_all(fleet)
    await start_all(fleet)


async def start_all(fleet):
    await asyncio.gather(
        *(gateway.start(fleet.address) for gateway in fleet.gateways)
    )


async def read_until(clients, event_count):
    """Starts to read the streams and returns the tasks once all have events."""
    tasks = [asyncio.create_task(client.read()) for client in clients]
    async with asyncio.timeout(10):
        while min(len(client.events) for client in clients) < event_count:
            await asyncio.sleep(0.02)
    return tasks


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def test_stream_that_breaks_off_goes_on_at_its_software_version(directory):
    # Guards against an answer that joins events of two software versions, and
    # against streams that end although engines of their version serve.
    async def scenario(fleet):
        for engine in fleet.more_engines:
            engine.events_until_break = 6
        clients = make_clients(fleet)
        await asyncio.gather(*(client.read() for client in clients))
        assert joined(clients) == []
        assert sum(client.is_whole for client in clients) >= STREAMS / 2
        # Both versions are used.
        assert {v for c in clients for v in c.software_versions} == {
            "old",
            "new",
        }

    run_scenario(directory, scenario)


def test_stream_is_taken_up_at_its_version_after_all_gateways_ended(directory):
    # Guards against a gateway that knows nothing of the streams that ended
    # with it or its peers, and goes on at any version.
    async def scenario(fleet):
        clients = make_clients(fleet)
        tasks = await read_until(clients, 3)
        await restart_all(fleet)
        await asyncio.gather(*tasks)
        assert all(len(client.ends) > 1 for client in clients)
        assert joined(clients) == []
        assert sum(client.is_whole for client in clients) >= STREAMS / 2
        later = make_clients(fleet, prefix="later")
        await asyncio.gather(*(client.read(0) for client in later))
        assert all(client.is_whole for client in later)

    run_scenario(directory, scenario)


@pytest.mark.parametrize("newest", ["new", "old"])
def test_stream_is_refused_when_its_version_has_left(directory, newest):
    # Guards against a take-up that goes on at the version that has replaced
    # the one that began the stream, and against one that waits for it.
    async def scenario(fleet):
        clients = make_clients(fleet)
        tasks = await read_until(clients, 3)
        await kill_all(fleet)
        for engine in fleet.more_engines:
            if engine.software_version != newest:
                await fleet.platform.documents.delete("servers", engine.name)
                await engine.stop()
        await start_all(fleet)
        await asyncio.gather(*tasks)
        assert joined(clients) == []
        left = [c for c in clients if c.software_versions != {newest}]
        stayed = [c for c in clients if c.software_versions == {newest}]
        assert left
        for client in left:
            refused = [end for end in client.ends if end.status not in (0, 200)]
            assert {end.status for end in refused} == {503}
            assert max(end.seconds for end in refused) < REFUSED_WITHIN_S
        assert sum(c.is_whole for c in stayed) >= len(stayed) / 2

    run_scenario(directory, scenario)


def test_versions_may_change_while_streams_are_taken_up(directory):
    # Guards against a stream whose version is guessed from the engines that
    # serve now, while versions come and go.
    async def scenario(fleet):
        clients = []
        tasks = []
        for round_number in range(4):
            started = make_clients(
                fleet, 8, round_number, prefix=f"r{round_number}-"
            )
            clients.extend(started)
            tasks.extend(await read_until(started, 2))
            engine = fleet.more_engines[round_number % 4]
            # A replacement registers under the same id with other software.
            engine.reset_connections()
            engine.software_version = f"next-{round_number}"
            engine.started_ms += 1000
            await fleet.register(engine)
            if round_number % 2:
                await restart_all(fleet)
        await asyncio.gather(*tasks)
        assert joined(clients) == []

    run_scenario(directory, scenario)


def test_take_up_of_which_nothing_is_known_is_refused(directory):
    # Guards against a guess where the client names no earlier attempt.
    async def scenario(fleet):
        client = make_clients(fleet, 1)[0]
        client.events = ["e 1 old"]
        await client.attempt("")
        assert client.ends[0].status == 503
        assert client.ends[0].seconds < REFUSED_WITHIN_S
        assert client.events == ["e 1 old"]

    run_scenario(directory, scenario)


def test_streams_cost_no_call_to_the_store_each(directory):
    # Guards against a price that grows with the number of streams.
    async def scenario(fleet):
        await asyncio.gather(*(c.read() for c in make_clients(fleet, 4)))
        counts = fleet.platform.documents.call_counts

        def stream_calls():
            return sum(
                count
                for (_, kind), count in counts.items()
                if kind.startswith("stream-")
            )

        before = stream_calls()
        clients = make_clients(fleet, prefix="later")
        for some in (
            itertools.batched(clients, 6)
            if hasattr(itertools, "batched")
            else [clients[n : n + 6] for n in range(0, STREAMS, 6)]
        ):
            await asyncio.gather(*(client.read() for client in some))
        assert all(client.is_whole for client in clients)
        assert stream_calls() - before < STREAMS / 2

    run_scenario(directory, scenario)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_items_hold_events_of_one_software_version(directory, is_restarted):
    # Guards against texts of items that are joined from two versions when
    # they resume at another engine, or at another gateway after a restart.
    async def scenario(fleet):
        for engine, version in zip(fleet.engines, ("old", "new"), strict=True):
            engine.software_version = version
            engine.events_until_break = 0 if is_restarted else 8
            await fleet.register(engine)
        await asyncio.sleep(1.0)
        body = orjson.dumps(batch_submission(12))
        status, _ = await fleet.call(
            fleet.gateways[0], "POST", "/rollouts/1", "b1", body
        )
        assert status == 202
        if is_restarted:
            await asyncio.sleep(0.9)
            await restart_all(fleet)
        results = []
        while len(results) < 12:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                _, page = await fleet.call(
                    fleet.gateways[0], "GET", results_path("b1", 0)
                )
                results = orjson.loads(page).get("results", [])
            await asyncio.sleep(0.2)
        for result in results:
            events = result["text"].split("\n")
            assert len({event.rpartition(" ")[2] for event in events}) == 1
            assert len(events) == EVENTS

    run_scenario(directory, scenario, writers=())

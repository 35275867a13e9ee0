"""Streams of two software versions at a gateway that is out of step.

Each test runs three real gateways. One of them stands still, or is cut off from
the store, from its peers or from both, while engines with other software join
the service or start again under their identifiers. Streams that began through
the other gateways meanwhile are taken up there, and streams that it begins are
taken up elsewhere.
"""

import asyncio
import contextlib
import random
import signal

import pytest
from shallotstand.standins.fleet import Fleet
from shallotstand.standins.fleet_engine import FleetEngine
from shallotstand.standins.proxy import Mode

from soak.streams import EVENTS, StreamClient

STREAMS = 24
OWN_STREAMS = 12
# Events that a client reads before it closes its connection.
EVENTS_BEFORE_BREAK = 3
# Time from the change of the engines to the first stream, and from the first
# stream that is taken up to the end of the disturbance.
JOINED_S = 0.5
SETTLED_S = 0.4
TAKEN_UP_S = 0.7
MAX_TAKE_UPS = 4
TAKE_UP_DELAY_S = 0.3


class Disturbance:
    """What separates a gateway from the others."""

    def __init__(
        self, gateway, is_frozen=False, is_storeless=False, is_cut=False
    ):
        self._gateway = gateway
        self._is_frozen = is_frozen
        self._proxies = [
            proxy
            for proxy, is_silent in (
                (gateway.store_proxy, is_storeless),
                (gateway.peer_proxy, is_cut),
            )
            if is_silent
        ]

    def begin(self):
        if self._is_frozen:
            self._gateway.process.send_signal(signal.SIGSTOP)
        for proxy in self._proxies:
            proxy.set_mode(Mode.SILENT)

    def end(self):
        for proxy in self._proxies:
            proxy.heal()
        if self._is_frozen:
            self._gateway.process.send_signal(signal.SIGCONT)


DISTURBANCES = {
    "none": {},
    "frozen": {"is_frozen": True},
    "no store": {"is_storeless": True},
    "no peers": {"is_cut": True},
    "no store, no peers": {"is_storeless": True, "is_cut": True},
}


def make_writer(name, software_version):
    return FleetEngine(
        name,
        event_count=EVENTS,
        service="writers",
        software_version=software_version,
    )


@contextlib.asynccontextmanager
async def joining(fleet, engines):
    """Lets engines with newer software join."""
    for engine in engines:
        await engine.start()
        await fleet.register(engine)
    yield
    for engine in engines:
        await engine.stop()


async def begin_streams(clients, gateways, rng):
    """Begins streams and closes their connections after some events."""
    await asyncio.gather(
        *(
            client.attempt("", rng.choice(gateways), EVENTS_BEFORE_BREAK)
            for client in clients
        )
    )


async def take_up(client, gateways, rng):
    for _ in range(MAX_TAKE_UPS):
        await client.attempt(client.first_attempt_id, rng.choice(gateways))
        if client.is_whole:
            return
        await asyncio.sleep(TAKE_UP_DELAY_S)


def joined(clients):
    """Returns the streams that hold events of several software versions."""
    return [
        client.events for client in clients if len(client.software_versions) > 1
    ]


class Scenario:
    """Streams that begin at, and are taken up at, a gateway out of step."""

    def __init__(self, fleet, gateway, disturbance, seed=1):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._seed = seed
        self.gateway = gateway
        self.others = [one for one in fleet.gateways if one is not gateway]
        self._disturbance = Disturbance(gateway, **DISTURBANCES[disturbance])
        self.foreign = self._make_clients("foreign", STREAMS)
        self.own = self._make_clients("own", OWN_STREAMS)

    def _make_clients(self, name, count):
        return [
            StreamClient(self._fleet, f"{name}{self._seed}-{number}", self._rng)
            for number in range(count)
        ]

    async def run(self, change):
        """Runs the scenario.

        Args:
          change: Changes the engines once the gateway is out of step.
        """
        warm_up = self._make_clients("warm", 6)
        await begin_streams(warm_up, [self.gateway], self._rng)
        await asyncio.sleep(SETTLED_S)
        self._disturbance.begin()
        await asyncio.sleep(SETTLED_S)
        await change()
        await asyncio.sleep(JOINED_S)
        await begin_streams(self.foreign, self.others, self._rng)
        async with asyncio.TaskGroup() as group:
            for client in self.foreign:
                group.create_task(take_up(client, [self.gateway], self._rng))
            group.create_task(
                begin_streams(self.own, [self.gateway], self._rng)
            )
            await asyncio.sleep(TAKEN_UP_S)
            self._disturbance.end()
        async with asyncio.TaskGroup() as group:
            for client in self.own:
                if client.events:
                    group.create_task(take_up(client, self.others, self._rng))

    def check(self):
        assert joined(self.foreign) == []
        assert joined(self.own) == []


async def choose_gateway(fleet, disturbance):
    """Returns the gateway that is to be out of step.

    It watches the store for the others, if possible: these are out of date
    then, too, until they miss it.
    """
    if DISTURBANCES[disturbance].get("is_cut"):
        # All connections to the last one are opened by the others, through its
        # proxy.
        return fleet.gateways[-1]
    return await fleet.wait_for_watcher()


def run_scenario(directory, disturbance, scenario):
    async def run_with_fleet():
        engines = (make_writer("w-1", "old"), make_writer("w-2", "old"))
        async with Fleet(
            directory, 3, more_engines=engines, has_proxies=True
        ) as fleet:
            gateway = await choose_gateway(fleet, disturbance)
            streams = Scenario(fleet, gateway, disturbance)
            await asyncio.wait_for(scenario(fleet, streams), 50)

    asyncio.run(run_with_fleet())


@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_engine_that_starts_again_with_other_software(tmp_path, disturbance):
    # Guards against streams that go on at an engine whose entry is out of date,
    # and against streams that begin there and count as begun by its old
    # software.
    async def scenario(fleet, streams):
        engine = fleet.more_engines[0]
        await streams.run(lambda: engine.restart("new"))
        streams.check()
        # The other engine goes on serving the streams of the old software.
        whole = sum(client.is_whole for client in streams.foreign)
        assert whole >= STREAMS / 2

    run_scenario(tmp_path, disturbance, scenario)


@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_engines_that_join_with_other_software(tmp_path, disturbance):
    # Guards against streams that began at engines which this gateway has not
    # heard of, and go on at those that it knows.
    async def scenario(fleet, streams):
        newer = (make_writer("w-3", "new"), make_writer("w-4", "new"))
        async with contextlib.AsyncExitStack() as stack:

            async def change():
                await stack.enter_async_context(joining(fleet, newer))
                for engine in fleet.more_engines:
                    await fleet.register(engine, "draining")

            await streams.run(change)
        streams.check()

    run_scenario(tmp_path, disturbance, scenario)


@pytest.mark.parametrize("disturbance", DISTURBANCES)
def test_streams_begin_after_all_engines_have_started_again(
    tmp_path, disturbance
):
    # Guards against gateways that begin no stream, or any stream as that of
    # the old software, until a peer out of step tells them of new starts.
    async def scenario(fleet, streams):
        async def change():
            for engine in fleet.more_engines:
                await engine.restart("new")

        await streams.run(change)
        streams.check()
        assert sum(bool(c.events) for c in streams.foreign) >= STREAMS / 2

    run_scenario(tmp_path, disturbance, scenario)

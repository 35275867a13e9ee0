"""A request that crashes each engine that runs it is soon not sent any more.

Each test runs several real gateways on engines that crash.
"""

import asyncio
import contextlib
import itertools
import signal
import time
from typing import NamedTuple

import aiohttp
import pytest
from shallotstand.standins.fleet import HOST, Fleet
from shallotstand.standins.fleet_engine import FleetEngine

GATEWAYS = 3
ENGINES = 4
CRASHING_BODY = b"a request that no engine survives"
# Seconds between two copies of the crashing request.
CRASHING_INTERVAL_S = 0.4
SOUND_INTERVAL_S = 0.025
# Crashes after which the request is known, the time in which all gateways have
# to learn of it, and how often it may reach engines later.
CRASHES = 3
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
# Engines that crashed last are back by then.
RECOVERED_S = CONTACT_S + 2.0
REFUSED_WITHIN_S = 0.5


class Call(NamedTuple):
    body: bytes
    status: int
    seconds: float
    sent_at: float
    code: str


class Callers:
    """Sends requests to the gateways by turns, each under a new identifier."""

    def __init__(self, fleet):
        self.calls = []
        self._fleet = fleet
        self._numbers = itertools.count()
        self._tasks = []

    @contextlib.asynccontextmanager
    async def running(self, *tasks):
        self._tasks = [asyncio.create_task(task) for task in tasks]
        try:
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def send(self, body, interval_s, is_unique):
        async with asyncio.TaskGroup() as group:
            while True:
                number = next(self._numbers)
                content = b"%s %d" % (body, number) if is_unique else body
                group.create_task(self._call(number, content))
                await asyncio.sleep(interval_s)

    async def _call(self, number, body):
        gateway = self._fleet.gateways[number % GATEWAYS]
        sent_at = time.monotonic()
        status, code = 0, ""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(3.0),
                self._fleet.session.post(
                    f"http://{gateway.front_address}/fragile/a",
                    data=body,
                    headers={
                        "Host": HOST,
                        "Authorization": "Token key-1",
                        "Connection": "close",
                        "X-Shallotstand-Attempt-Id": f"c{number}",
                        "X-Shallotstand-Deadline-Ms": "2000",
                    },
                ) as response,
            ):
                await response.read()
                status = response.status
                code = response.headers.get("X-Result-Code", "")
        seconds = time.monotonic() - sent_at
        self.calls.append(Call(body, status, seconds, sent_at, code))

    def ended(self, body_start, since):
        return [
            call
            for call in self.calls
            if call.body.startswith(body_start) and call.sent_at > since
        ]


def run_scenario(directory, scenario):
    async def run_with_fleet():
        engines = tuple(
            FleetEngine(f"f{number}", pause_s=0.04, service="fragile")
            for number in range(ENGINES)
        )
        for engine in engines:
            engine.crashing_body = CRASHING_BODY
        async with Fleet(directory, GATEWAYS, more_engines=engines) as fleet:
            await asyncio.wait_for(scenario(fleet), 45)

    asyncio.run(run_with_fleet())


def arrivals(fleet):
    return sorted(
        itertools.chain.from_iterable(
            engine.arrivals_of_crashing for engine in fleet.more_engines
        )
    )


def late_arrivals(fleet):
    """Returns the arrivals that all gateways could have prevented."""
    times = arrivals(fleet)
    return [at for at in times if at > times[CRASHES - 1] + CONTACT_S]


async def wait_until_known(fleet):
    await fleet.wait_until(lambda: len(arrivals(fleet)) >= CRASHES)
    await asyncio.sleep(CONTACT_S)


@pytest.fixture
def directory(tmp_path):
    return tmp_path


@pytest.mark.parametrize("entries", ["written anew", "unchanged"])
def test_crashing_request_stops_reaching_engines(directory, entries):
    # Guards against a request that ends engine after engine, because each
    # gateway forgets what happened under its earlier copies, and against sound
    # requests that are refused because they ran beside it. An engine may be
    # back before the platform's list has changed.
    async def scenario(fleet):
        if entries == "unchanged":
            for engine in fleet.more_engines:
                engine.on_start = None
        callers = Callers(fleet)
        async with callers.running(
            callers.send(CRASHING_BODY, CRASHING_INTERVAL_S, False),
            callers.send(b"sound", SOUND_INTERVAL_S, True),
            callers.send(b"same", SOUND_INTERVAL_S * 4, False),
        ):
            await wait_until_known(fleet)
            recovered_at = time.monotonic() + RECOVERED_S - CONTACT_S
            await asyncio.sleep(8.0)
        assert len(late_arrivals(fleet)) <= MAX_LATE_ARRIVALS
        refused = callers.ended(CRASHING_BODY, recovered_at)
        assert {call.status for call in refused} == {503}
        assert max(call.seconds for call in refused) < REFUSED_WITHIN_S
        for body in (b"sound", b"same"):
            sound = callers.ended(body, recovered_at)
            assert {call.status for call in sound} == {200}
            # None was ever refused for good.
            statuses = {call.status for call in callers.ended(body, 0.0)}
            assert not statuses & set(range(300, 500))

    run_scenario(directory, scenario)


@pytest.mark.parametrize("restarted", [1, GATEWAYS])
def test_crashing_request_is_known_after_a_restart(directory, restarted):
    # Guards against crashes that are counted in the memory of a process only.
    async def scenario(fleet):
        callers = Callers(fleet)
        async with callers.running(
            callers.send(CRASHING_BODY, CRASHING_INTERVAL_S, False),
            callers.send(b"sound", SOUND_INTERVAL_S, True),
        ):
            await wait_until_known(fleet)
            gateways = fleet.gateways[:restarted]
            for gateway in gateways:
                await gateway.stop(signal.SIGKILL)
            await asyncio.gather(
                *(gateway.start(fleet.address) for gateway in gateways)
            )
            restarted_at = time.monotonic()
            await asyncio.sleep(6.0)
        assert len(late_arrivals(fleet)) <= MAX_LATE_ARRIVALS
        sound = callers.ended(b"sound", restarted_at + 1.0)
        assert {call.status for call in sound} == {200}

    run_scenario(directory, scenario)


def test_requests_whose_connections_are_reset_are_not_taken_for_crashing(
    directory,
):
    # Guards against sound requests that are refused after engines which live on
    # have reset their connections.
    async def scenario(fleet):
        callers = Callers(fleet)
        async with callers.running(
            callers.send(b"same", SOUND_INTERVAL_S * 4, False),
            callers.send(b"sound", SOUND_INTERVAL_S, True),
        ):
            for _ in range(8):
                await asyncio.sleep(0.5)
                for engine in fleet.more_engines:
                    engine.reset_connections()
            calm_since = time.monotonic()
            await asyncio.sleep(3.0)
        later = [c for c in callers.calls if c.sent_at > calm_since + 0.5]
        assert {call.status for call in later} == {200}
        assert not {c.status for c in callers.calls} & set(range(300, 500))

    run_scenario(directory, scenario)

"""A gateway that stops as planned cuts off no request that it passed on.

Each test runs real gateways and sends one of them a SIGTERM in calm.
"""

import asyncio
import itertools
import signal
import time
from typing import NamedTuple

import aiohttp
import orjson
import pytest
from shallotstand.standins.fleet import HOST, Fleet
from shallotstand.standins.fleet_engine import FleetEngine

INTERVAL_S = 0.05
DEADLINE_MS = 12_000
# Statuses that promise that a request did not run.
NOT_RUN = (429, 503)
REFUSED_WITHIN_S = 0.5
# Seconds from SIGTERM until the process is killed, and the part of it at whose
# end an engine may still be at work.
GRACE_S = 8.0
LAST_PART_S = GRACE_S / 6


class Call(NamedTuple):
    request_id: str
    sent_at: float
    ended_at: float
    status: int


class Caller:
    """Sends requests at a steady rate on connections that it keeps open."""

    def __init__(self, fleet, kind):
        self.calls = []
        self._fleet = fleet
        self._kind = kind

    async def run(self, until):
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            for number in itertools.count():
                if time.monotonic() >= until():
                    return
                group.create_task(self._call(session, f"c{number}"))
                await asyncio.sleep(INTERVAL_S)

    async def _call(self, session, request_id):
        sent_at = time.monotonic()
        gateway = self._fleet.gateways[0]
        try:
            async with session.post(
                f"http://{gateway.front_address}/patient/{self._kind}/a",
                data=request_id,
                headers={
                    "Host": HOST,
                    "Authorization": "Token key-1",
                    "X-Shallotstand-Attempt-Id": request_id,
                    "X-Shallotstand-Deadline-Ms": str(DEADLINE_MS),
                },
            ) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError):
            status = 0
        self.calls.append(Call(request_id, sent_at, time.monotonic(), status))


def run_scenario(directory, scenario, answer_s):
    async def run_with_fleet():
        engine = FleetEngine("slow-1", pause_s=answer_s, service="slow")
        async with Fleet(directory, 2, more_engines=(engine,)) as fleet:
            await asyncio.wait_for(scenario(fleet, engine), 50)

    asyncio.run(run_with_fleet())


@pytest.fixture
def directory(tmp_path):
    return tmp_path


async def stop_amid_calls(fleet, caller, before_s):
    """Returns the monotonic times of SIGTERM and of the end of the process."""
    stopped = [float("inf")]
    calls = asyncio.create_task(caller.run(lambda: stopped[0]))
    await asyncio.sleep(before_s)
    signalled_at = time.monotonic()
    await fleet.gateways[0].stop(signal.SIGTERM)
    stopped[0] = time.monotonic()
    await calls
    return signalled_at, stopped[0]


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("answer_s", [0.05, 3.0, 6.5])
def test_stop_cuts_off_no_request_that_came_in_time(directory, answer_s, kind):
    # Guards against requests that are passed on during a stop although the
    # rest of it can't hold them, and are cut off at its end.
    async def scenario(fleet, engine):
        caller = Caller(fleet, kind)
        signalled_at, ended_at = await stop_amid_calls(
            fleet, caller, before_s=answer_s + 0.7
        )
        assert ended_at - signalled_at < GRACE_S
        ran = set(engine.started_requests)
        after = [c for c in caller.calls if c.sent_at > signalled_at]
        for call in caller.calls:
            if call.request_id in ran:
                assert call.status == 200
            else:
                assert call.status in (0, *NOT_RUN)
        refused = [call for call in after if call.status in NOT_RUN]
        assert all(
            call.ended_at - call.sent_at < REFUSED_WITHIN_S for call in refused
        )
        served = [call for call in after if call.status == 200]
        if 2 * answer_s < GRACE_S - LAST_PART_S:
            # What can be answered in time still is.
            assert served
        else:
            assert refused

    run_scenario(directory, scenario, answer_s)


def read_stop(gateway):
    """Returns a gateway's log entry of its stop, written once it knew of it."""
    entries = map(orjson.loads, gateway.log_path.read_text().splitlines())
    return next(e for e in entries if e["message"] == "Stopping")


def test_requests_of_unknown_length_are_refused_when_time_is_short(directory):
    # Guards against a guess for a service that has not answered yet. The first
    # call is sent together with the SIGTERM. What the gateway passed on before
    # it knew of its stop may be cut off, nothing else.
    async def scenario(fleet, engine):
        caller = Caller(fleet, "unsafe")
        signalled_at = time.time()
        await stop_amid_calls(fleet, caller, before_s=0.0)
        stop = read_stop(fleet.gateways[0])
        assert stop["time"] - signalled_at < REFUSED_WITHIN_S
        passed_on_before = {f"c{i}" for i in range(stop["in_progress"])}
        ran = set(engine.started_requests)
        assert not [
            call
            for call in caller.calls
            if call.request_id in ran - passed_on_before and call.status != 200
        ]

    run_scenario(directory, scenario, answer_s=7.5)

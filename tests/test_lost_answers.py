"""Requests whose answers are lost after an engine has run them.

Each test runs a real gateway.
"""

import asyncio
import collections

import aiohttp
import pytest
from shallotstand.standins.fleet import HOST, Fleet
from shallotstand.standins.fleet_engine import FleetEngine

METHODS = ("GET", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
REQUESTS_PER_METHOD = 8
# Statuses that promise that a request did not run and never will.
NOT_RUN = (408, 421, 429, 503)


def run_scenario(directory, scenario):
    async def run_with_fleet():
        second = FleetEngine("p2", pause_s=0.01, service="plain")
        async with Fleet(directory, 1, more_engines=(second,)) as fleet:
            await asyncio.wait_for(
                scenario(fleet, (fleet.plain_engine, second)), 40
            )

    asyncio.run(run_with_fleet())


async def send(fleet, method, path, request_id, body=b""):
    """Returns the status of a request; 0 if there is no answer."""
    try:
        async with fleet.session.request(
            method,
            f"http://{fleet.gateways[0].front_address}{path}",
            data=body or None,
            headers={
                "Host": HOST,
                "Authorization": "Token key-1",
                "Connection": "close",
                "X-Shallotstand-Attempt-Id": request_id,
                "X-Shallotstand-Deadline-Ms": "2000",
            },
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


def run_counts(engines):
    return collections.Counter(
        request_id
        for engine in engines
        for request_id in engine.started_requests
    )


async def send_all(fleet, path, body=b""):
    """Sends requests of all methods and returns the statuses by identifier."""
    numbered = [
        (method, f"{method}-{number}")
        for number in range(REQUESTS_PER_METHOD)
        for method in METHODS
    ]
    statuses = await asyncio.gather(
        *(send(fleet, method, path, name, body) for method, name in numbered)
    )
    return {
        name: status
        for (_, name), status in zip(numbered, statuses, strict=True)
    }


@pytest.mark.parametrize(
    ("path", "losing_engines", "max_sends", "status"),
    [("/once/a", 2, 1, 502), ("/plain/a", 1, 2, 200)],
)
def test_request_is_sent_no_more_often_than_allowed(
    tmp_path, path, losing_engines, max_sends, status
):
    # Guards against requests that run again unnoticed after their answer was
    # lost, also those that must run once.
    async def scenario(fleet, engines):
        for engine in engines[:losing_engines]:
            engine.loses_answers = True
        statuses = await send_all(fleet, path)
        assert max(run_counts(engines).values()) <= max_sends
        assert set(statuses.values()) == {status}

    run_scenario(tmp_path, scenario)


def test_request_under_which_an_engine_ends_is_not_called_unsent(tmp_path):
    # Guards against a request that must run once and goes to a second engine,
    # or is reported as not run, since the first engine ended under it.
    async def scenario(fleet, engines):
        for engine in engines:
            engine.crashing_body = b"crash"
        for method in METHODS:
            status = await send(fleet, method, "/once/a", method, b"crash")
            counts = run_counts(engines)
            assert counts[method] <= 1
            assert not (status in NOT_RUN and counts[method])
            await asyncio.sleep(0.3)
        assert run_counts(engines).total() > 1

    run_scenario(tmp_path, scenario)

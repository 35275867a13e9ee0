"""Engines that say in their answers that they leave.

Each test runs real gateways.
"""

import asyncio
import collections
import itertools
import signal
import time

import aiohttp
import orjson
import pytest
from shallotstand.standins.fleet import (
    HOST,
    Fleet,
    batch_submission,
    results_path,
)
from shallotstand.standins.fleet_engine import (
    LEAVING_HEADER,
    START_HEADER,
    FleetEngine,
)

from soak.leaving import DRAIN_S, PassedAnswer, find_late_requests

GATEWAYS = 2
INTERVAL_S = 0.04
# Time for which callers go on after the engine has begun to leave.
LEAVING_S = DRAIN_S + 1.5
REFUSED_WITHIN_S = 0.3


class Callers:
    """Callers that send requests to all gateways at a steady rate.

    Attributes:
      answers: What they got.
    """

    def __init__(self, fleet, path="/plain/a"):
        self._fleet = fleet
        self._path = path
        self._numbers = itertools.count()
        self.answers = []

    async def run_for(self, seconds):
        ends_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                for gateway in self._fleet.gateways:
                    group.create_task(self.call(gateway))
                await asyncio.sleep(INTERVAL_S)

    async def call(self, gateway):
        request_id = f"{gateway.node}-{next(self._numbers)}"
        sent_at = time.monotonic()
        headers = {
            "Host": HOST,
            "Authorization": "Token key-1",
            "Connection": "close",
            "X-Shallotstand-Attempt-Id": request_id,
            "X-Shallotstand-Deadline-Ms": "3000",
        }
        try:
            async with self._fleet.session.post(
                f"http://{gateway.front_address}{self._path}",
                data=request_id,
                headers=headers,
            ) as response:
                answered_at = time.monotonic()
                self.answers.append(
                    PassedAnswer(
                        request_id,
                        gateway.node,
                        response.headers.get(START_HEADER, ""),
                        LEAVING_HEADER in response.headers,
                        sent_at,
                        answered_at,
                        response.status,
                    )
                )
                body = await response.read()
                return response, body
        except aiohttp.ClientError:
            self.answers.append(
                PassedAnswer(
                    request_id, gateway.node, "", False, sent_at, sent_at, 0
                )
            )

    def check(self, *engines):
        requests_by_start = {
            start: requests
            for engine in engines
            for start, requests in engine.requests_by_start.items()
        }
        late = list(find_late_requests(self.answers, requests_by_start))
        assert late == []


def run_scenario(directory, scenario, engines=(), gateways=GATEWAYS):
    async def run_with_fleet():
        async with Fleet(directory, gateways, more_engines=engines) as fleet:
            await asyncio.wait_for(scenario(fleet, *engines), 50)

    asyncio.run(run_with_fleet())


def plain_engine(name):
    return FleetEngine(name, pause_s=0.01, service="plain")


async def leave_as_listed(fleet, engine, callers, listed):
    """Lets an engine say that it leaves; its entry says what is given."""
    engine.leaving_header = "1"
    # A removed entry would keep an engine that is rarely used from saying it.
    await fleet.wait_until(
        lambda: any(answer.says_leaving for answer in callers.answers)
    )
    await asyncio.sleep(0.2)
    if listed == "gone":
        await fleet.platform.documents.delete("servers", engine.name)
    elif listed == "draining later":
        await asyncio.sleep(0.8)
        await fleet.register(engine, "draining")


@pytest.mark.parametrize("listed", ["ready", "draining later", "gone"])
@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/events/a"])
def test_leaving_engine_gets_no_request_late(tmp_path, path, listed):
    # Guards against requests that go on to an engine whose answers say that it
    # leaves, whatever the platform's list says.
    service = "writers" if path.startswith("/events") else "plain"
    engines = tuple(
        FleetEngine(f"a{n}", 3, 0.01, service=service) for n in range(2)
    )

    async def scenario(fleet, *engines):
        engines = (*engines, fleet.plain_engine)
        callers = Callers(fleet, path)
        calling = asyncio.create_task(callers.run_for(LEAVING_S + 1.0))
        await asyncio.sleep(1.0)
        uses = collections.Counter(
            answer.engine_start for answer in callers.answers
        )
        engine = max(engines, key=lambda one: uses[one.start_name])
        await leave_as_listed(fleet, engine, callers, listed)
        await calling
        # It serves all the time, so nothing has to fail.
        assert {answer.status for answer in callers.answers} == {200}
        assert any(answer.says_leaving for answer in callers.answers)
        callers.check(*engines)

    run_scenario(tmp_path, scenario, engines)


def test_items_and_scoring_requests_leave_a_leaving_engine(tmp_path):
    # Guards against items, texts that go on, and scoring requests that still
    # go to an engine that has said that it leaves.
    async def scenario(fleet, _):
        plain, model = fleet.plain_engine, fleet.engines[0]
        for engine in (plain, model):
            engine.leaving_header = "1"
        callers = Callers(fleet)
        for gateway in fleet.gateways:
            while not any(
                answer.says_leaving and answer.gateway == gateway.node
                for answer in callers.answers
            ):
                await callers.call(gateway)
        await submit(fleet, "first", 24)
        await asyncio.sleep(DRAIN_S)
        before = len(model.started_requests), len(plain.started_requests)
        assert min(before) > 0
        await submit(fleet, "second", 24)
        assert before == (
            len(model.started_requests),
            len(plain.started_requests),
        )

    run_scenario(tmp_path, scenario, (plain_engine("p2"),))


async def submit(fleet, batch_id, count):
    """Submits a batch and reads all results."""
    body = orjson.dumps(batch_submission(count, id_prefix=f"{batch_id}-"))
    gateway = fleet.gateways[0]
    status, _ = await fleet.call(gateway, "POST", "/rollouts/1", batch_id, body)
    assert status == 202
    results = []
    while len(results) < count:
        _, page = await fleet.call(gateway, "GET", results_path(batch_id, 0))
        results = orjson.loads(page)["results"]
    assert {result["state"] for result in results} == {"completed"}


def test_stream_at_a_leaving_engine_runs_to_its_end(tmp_path):
    # Guards against streams that are moved, or cut, since their engine says
    # that it leaves.
    engines = (
        FleetEngine("w1", 40, 0.05, service="writers"),
        FleetEngine("w2", 40, 0.05, service="writers"),
    )

    async def scenario(fleet, first, second):
        callers = Callers(fleet, "/events/a")
        calls = [
            asyncio.create_task(callers.call(fleet.gateways[0]))
            for _ in range(6)
        ]
        await asyncio.sleep(0.4)
        begun = len(first.started_requests)
        assert begun
        first.leaving_header = "1"
        later = [
            asyncio.create_task(callers.call(fleet.gateways[0]))
            for _ in range(6)
        ]
        bodies = [body for _, body in await asyncio.gather(*calls, *later)]
        assert all(body.count(b"data: ") == 40 for body in bodies)
        requests = first.started_requests + second.started_requests
        assert len(requests) == 12

    run_scenario(tmp_path, scenario, engines, gateways=1)


def test_request_is_refused_at_once_where_all_engines_leave(tmp_path):
    # Guards against callers who wait for engines that they can't get.
    async def scenario(fleet):
        (gateway,) = fleet.gateways
        callers = Callers(fleet)
        fleet.plain_engine.leaving_header = "1"
        await callers.run_for(LEAVING_S)
        sent_at = time.monotonic()
        response, _ = await callers.call(gateway)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert time.monotonic() - sent_at < REFUSED_WITHIN_S
        callers.check(fleet.plain_engine)

    run_scenario(tmp_path, scenario, gateways=1)


@pytest.mark.parametrize("has_restarted", [False, True])
def test_engine_that_has_started_again_is_used(tmp_path, has_restarted):
    # Guards against an engine that is never used again, and against one that
    # is used since its entry is written anew.
    async def scenario(fleet, other):
        engine = fleet.plain_engine
        engine.leaving_header = "1"
        callers = Callers(fleet)
        await callers.run_for(1.0)
        assert engine.started_requests
        if has_restarted:
            await engine.restart("")
            engine.leaving_header = None
        await fleet.platform.documents.delete("servers", engine.name)
        await asyncio.sleep(0.3)
        await fleet.register(engine)
        await fleet.platform.documents.delete("servers", other.name)
        await asyncio.sleep(DRAIN_S)
        used_before = len(engine.started_requests)
        await callers.run_for(1.0)
        assert (len(engine.started_requests) > used_before) == has_restarted
        callers.check(engine)

    run_scenario(tmp_path, scenario, (plain_engine("p2"),), gateways=1)


@pytest.mark.parametrize(
    ("value", "is_avoided"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), ("soon", False)],
)
def test_value_of_the_header_decides(tmp_path, value, is_avoided):
    # Guards against an engine that is left without a reason.
    async def scenario(fleet, _):
        engine = fleet.plain_engine
        engine.leaving_header = value
        callers = Callers(fleet)
        await callers.run_for(1.0)
        used_before = len(engine.started_requests)
        await callers.run_for(1.0)
        assert (len(engine.started_requests) == used_before) == is_avoided
        assert {answer.status for answer in callers.answers} == {200}

    run_scenario(tmp_path, scenario, (plain_engine("p2"),), gateways=1)


def test_frozen_gateway_sends_nothing_to_an_engine_that_has_left(tmp_path):
    # Guards against a belief that gets lost while the gateway stands still.
    async def scenario(fleet, _):
        (gateway,) = fleet.gateways
        engine = fleet.plain_engine
        engine.leaving_header = "1"
        callers = Callers(fleet)
        await callers.run_for(1.0)
        gateway.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        gateway.process.send_signal(signal.SIGCONT)
        await callers.run_for(1.5)
        callers.check(engine)

    run_scenario(tmp_path, scenario, (plain_engine("p2"),), gateways=1)

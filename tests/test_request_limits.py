"""Engines that state a limit get no more requests from all gateways together.

Each test runs several real gateways and counts what arrives at the engine.
"""

import asyncio
import contextlib
import itertools
import signal
import time
from typing import NamedTuple

import aiohttp
import orjson
import pytest
from shallotstand.standins.fleet import (
    HOST,
    Fleet,
    batch_submission,
    results_path,
)
from shallotstand.standins.proxy import Mode, Proxy
from shallotstand.standins.request_limit import CONTACT_S

GATEWAYS = 3
# Plain requests a second at each gateway; far more than the limits below.
CALLS_PER_S = 12.0
# A request that can't be served has its answer well before its deadline of 4 s.
REFUSED_WITHIN_S = 0.5


class Call(NamedTuple):
    request_id: str
    status: int
    seconds: float
    retry_after_s: float
    ended_at: float


class Load:
    """Plain requests to each gateway at a steady rate."""

    def __init__(self, fleet):
        self.calls = []
        self._fleet = fleet
        self._tasks = []

    @contextlib.asynccontextmanager
    async def running(self):
        for number in range(GATEWAYS):
            self._tasks.append(asyncio.create_task(self._run(number)))
        try:
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, number):
        async with asyncio.TaskGroup() as group:
            for count in itertools.count():
                group.create_task(self._call(number, f"g{number}-{count}"))
                await asyncio.sleep(1 / CALLS_PER_S)

    async def _call(self, number, request_id):
        address = self._fleet.gateways[number].front_address
        started = time.monotonic()
        # A gateway that is restarting or frozen gives no response.
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(3.0),
                self._fleet.session.post(
                    f"http://{address}/plain/a",
                    headers={
                        "Host": HOST,
                        "Authorization": "Token key-1",
                        "Connection": "close",
                        "X-Shallotstand-Attempt-Id": request_id,
                        "X-Shallotstand-Deadline-Ms": "4000",
                    },
                ) as response,
            ):
                await response.read()
                ended = time.monotonic()
                retry_after = response.headers.get("Retry-After", "0")
                self.calls.append(
                    Call(
                        request_id,
                        response.status,
                        ended - started,
                        float(retry_after),
                        ended,
                    )
                )


def run_scenario(directory, scenario):
    async def run_with_fleet():
        async with Fleet(directory, GATEWAYS) as fleet:
            await asyncio.wait_for(scenario(fleet), 45)

    asyncio.run(run_with_fleet())


@pytest.fixture
def directory(tmp_path):
    return tmp_path


def test_limit_holds_for_all_gateways_together(directory):
    # Guards against an engine in need that gets all requests, or its limit
    # once from each gateway, and against callers who wait for what can't come.
    async def scenario(fleet):
        load = Load(fleet)
        limit = fleet.plain_engine.limit
        async with load.running():
            await asyncio.sleep(1.0)
            limit.state(2.0)
            started = time.monotonic()
            await asyncio.sleep(CONTACT_S + 6.0)
            served_since = started + CONTACT_S
            assert limit.violations() == []
        late_calls = [c for c in load.calls if c.ended_at > served_since]
        served = [call for call in late_calls if call.status == 200]
        refused = [call for call in late_calls if call.status != 200]
        # Half of what the engine takes is used at least.
        assert len(served) >= 2.0 * 6.0 * 0.5
        assert {call.status for call in refused} == {503}
        assert min(call.retry_after_s for call in refused) > 0
        assert max(call.seconds for call in refused) < REFUSED_WITHIN_S
        # What was refused as not run did not run.
        refused_ids = {c.request_id for c in load.calls if c.status == 503}
        assert not refused_ids & set(fleet.plain_engine.started_requests)

    run_scenario(directory, scenario)


def test_limit_that_rises_falls_and_ends_is_followed(directory):
    # Guards against a rate that was learned once and never again.
    async def scenario(fleet):
        load = Load(fleet)
        limit = fleet.plain_engine.limit
        async with load.running():
            await asyncio.sleep(0.5)
            for requests_per_s in (3.0, 8.0, 1.0):
                limit.state(requests_per_s)
                await asyncio.sleep(5.0)
            limit.state(None)
            violations = limit.violations()
            await asyncio.sleep(2.0)
            ended = time.monotonic()
            await asyncio.sleep(2.0)
            assert violations == []
            # No request is held back once the engine states no limit.
            unlimited = limit.count(since=ended)
            assert unlimited > GATEWAYS * CALLS_PER_S * 2.0 * 0.8

    run_scenario(directory, scenario)


@pytest.mark.parametrize("fault", ["killed", "stopped", "frozen", "cut"])
def test_limit_holds_while_a_gateway_is_disturbed(directory, fault):
    # Guards against a share of the limit that is taken twice when a gateway
    # leaves, comes back or loses the store.
    async def scenario(fleet):
        disturbed = fleet.gateways[0]
        proxy = Proxy(fleet.address)
        await proxy.start()
        await disturbed.stop(signal.SIGKILL)
        await disturbed.start(proxy.address)
        load = Load(fleet)
        limit = fleet.plain_engine.limit
        async with load.running():
            await asyncio.sleep(0.5)
            limit.state(2.0)
            await asyncio.sleep(CONTACT_S + 1.0)
            if fault == "frozen":
                disturbed.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(2.5)
                disturbed.process.send_signal(signal.SIGCONT)
            elif fault == "cut":
                proxy.set_mode(Mode.CUT)
                await asyncio.sleep(3.0)
                proxy.set_mode(Mode.PASS)
            else:
                await disturbed.stop(
                    signal.SIGKILL if fault == "killed" else signal.SIGTERM
                )
                await disturbed.start(proxy.address)
            await asyncio.sleep(5.0)
            # The disturbed gateway itself is excused.
            violations = limit.violations(
                lambda request_id: request_id.startswith("g0-")
            )
            assert violations == []
        proxy.stop()

    run_scenario(directory, scenario)


def test_items_wait_for_a_limited_engine_without_failing(directory):
    # Guards against items of a batch that are lost, or that press on an engine
    # in need, since they are tried again until they run.
    batches, items = 14, 8

    async def scenario(fleet):
        limit = fleet.engines[0].limit
        limit.state(2.0)
        for number in range(batches):
            body = orjson.dumps(
                batch_submission(items, id_prefix=f"b{number}-")
            )
            gateway = fleet.gateways[number % GATEWAYS]
            status, _ = await fleet.call(
                gateway, "POST", "/rollouts/1", f"b{number}", body
            )
            assert status == 202
            await asyncio.sleep(0.5)
        results = await asyncio.gather(
            *(read_results(fleet, f"b{n}", items) for n in range(batches))
        )
        states = {r["state"] for r in itertools.chain.from_iterable(results)}
        assert states == {"completed"}
        assert limit.violations() == []

    run_scenario(directory, scenario)


async def read_results(fleet, batch_id, item_count):
    while True:
        _, body = await fleet.call(
            fleet.gateways[0], "GET", results_path(batch_id, 0)
        )
        results = orjson.loads(body)["results"]
        if len(results) == item_count:
            return results
        await asyncio.sleep(0.2)

"""A gateway that stops hands its batches on, with real processes."""

import asyncio
import signal
import time

import orjson
from shallotstand.standins.fleet import Fleet, batch_submission, results_path

EVENTS = 30
PAUSE_S = 0.1
STOPPED_AFTER_S = 1.5
# What the hand-over and the listing of results may add to the generation.
MAX_DELAY_S = 1.2
ITEMS = 4


def test_texts_go_on_at_once_when_their_gateway_stops(tmp_path):
    # Guards against batches that wait for over a second until a peer notices
    # that nobody runs them, and against texts that start over.
    async def scenario(fleet):
        first, *others = fleet.gateways
        for engine in fleet.engines:
            engine.event_count = EVENTS
            engine._pause_s = PAUSE_S
        body = orjson.dumps(batch_submission(ITEMS))
        status, _ = await fleet.call(first, "POST", "/rollouts/1", "b1", body)
        assert status == 202
        started = time.monotonic()
        await asyncio.sleep(STOPPED_AFTER_S)
        owner = next(
            gateway
            for gateway in fleet.gateways
            if "Batch runs here" in gateway.log_path.read_text("utf-8")
        )
        stopping = asyncio.create_task(owner.stop(signal.SIGTERM))
        reader = next(g for g in (first, *others) if g is not owner)
        position = 0
        while position < ITEMS:
            status, page = await fleet.call(
                reader, "GET", results_path("b1", position), "read"
            )
            position = orjson.loads(page)["next"] if status == 200 else position
        took_s = time.monotonic() - started
        assert took_s < EVENTS * PAUSE_S + MAX_DELAY_S
        assert "Running batch handed on" in owner.log_path.read_text("utf-8")
        assert await stopping == 0

    async def run_with_fleet():
        async with Fleet(tmp_path, 3) as fleet:
            await asyncio.wait_for(scenario(fleet), 40)

    asyncio.run(run_with_fleet())

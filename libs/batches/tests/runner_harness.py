"""Runs a scenario beside a runner that runs every batch."""

import asyncio

from shallotstand.batches.checkpoints import Checkpoints
from shallotstand.batches.runner import BatchRunner
from shallotstand.standins.memory_engines import (
    MemoryStream,
    make_endpoint,
    numbered_events,
)


class OwnsEveryBatch:
    """An ownership under which this process runs every batch."""

    def should_run(self, batch):
        return True

    def may_take_over(self, batch_id):
        return True

    def was_claimed(self, batch_id):
        return batch_id == "claimed"


def run(environment, scenario):
    environment.endpoint_registry.update_endpoint(make_endpoint("a"))
    environment.endpoint_registry.update_endpoint(
        make_endpoint("s", service="plain", version_by_model={})
    )
    environment.engines.stream = lambda _: MemoryStream(
        numbered_events(1, 2), 1
    )

    async def start():
        runner = BatchRunner(
            environment.dependencies,
            environment.batch_registry,
            environment.log,
            OwnsEveryBatch(),
            Checkpoints(environment.store, "node-1"),
            "gateway-1",
            environment.log.read,
        )
        task = asyncio.create_task(runner.run())
        try:
            await asyncio.wait_for(scenario(runner), 10)
        finally:
            task.cancel()
            await runner.stop()

    asyncio.run(start())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def make_deadline(environment):
    return environment.dependencies.clock.monotonic() + 1

"""Batches of a process that stops go on at a peer, with their texts.

The pattern of load: gateways are stopped in turn, each while its batches run,
and the store may be away at that moment.
"""

import asyncio

from shallotstand.batches.checkpoints import Checkpoints
from shallotstand.batches.runner import BatchRunner
from shallotstand.batches.service import BatchService
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.standins.memory_engines import (
    MemoryStream,
    make_endpoint,
    numbered_events,
)

from .conftest import BatchEnvironment, item, submission

CLOCK = SystemClock()


class RunsOwnBatches:
    """An ownership under which a process runs the batches assigned to it."""

    def __init__(self, process_id):
        self._process_id = process_id

    def should_run(self, batch):
        return batch.submission.owner == self._process_id

    def may_take_over(self, batch_id):
        return False

    def was_claimed(self, batch_id):
        return False


class PeerOf:
    """Hands requests of one process to another one."""

    def __init__(self, service):
        self._service = service

    async def request_from_runner(self, batch_id, request, wait_s):
        return Failure(ResultCode.LINK_LOST, "no peer")

    async def request_from_process(self, process_id, batch_id, request):
        return await self._service.handle_peer_request(batch_id, request)


class Process:
    """A process with engines that generate texts of ten events."""

    def __init__(self, name, store, pause_s, peers=None):
        self.name = name
        self.environment = environment = BatchEnvironment()
        environment.store = environment.log._store = store
        for endpoint in (
            make_endpoint("a"),
            make_endpoint("s", service="plain", version_by_model={}),
        ):
            environment.endpoint_registry.update_endpoint(endpoint)
        environment.engines.stream = self._stream
        self._pause_s = pause_s
        self.service = BatchService(
            environment.batch_registry,
            environment.log,
            CLOCK,
            lambda _: True,
            peers,
            name,
            self._take_texts,
        )
        self.runner = BatchRunner(
            environment.dependencies,
            environment.batch_registry,
            environment.log,
            RunsOwnBatches(name),
            Checkpoints(store, name),
            name,
            self.service.load,
        )
        self.task = asyncio.create_task(self.runner.run())

    def _take_texts(self, running):
        self.runner.take_texts(running)

    def _stream(self, sent):
        first = (sent.request.last_event_id or 0) + 1
        parts = (
            part
            for event in numbered_events(first, 10)
            for part in (self._pause_s, event)
        )
        return MemoryStream(list(parts), 1)

    def resumed_at(self):
        return {
            sent.request.request_id: sent.request.last_event_id
            for sent in self.environment.engines.sent
            if sent.request.target.startswith("/rollouts")
        }

    @property
    def batch(self):
        return self.environment.batch_registry.by_id["batch"]


async def start_and_hand_on(
    store, is_known=False, is_store_away=False, pause_s=0.0
):
    """Runs a batch at one process, which hands it on to another one."""
    second = Process("second", store, pause_s)
    first = Process("first", store, 0.02, PeerOf(second.service))
    await first.environment.log.add_submission(
        submission("batch", item("a"), item("b"), owner="first"),
        CLOCK.monotonic() + 1,
    )
    if is_known:
        await second.environment.log.read("batch")
    await asyncio.sleep(0.12)
    (running,) = await first.runner.stop()
    store.is_down = is_store_away
    await first.service.hand_on(running, "second")
    return first, second, running


def run(scenario):
    async def start():
        await asyncio.wait_for(scenario(BatchEnvironment().store), 10)

    asyncio.run(start())


def test_peer_goes_on_with_the_texts():
    # Guards against texts that start over, and against a wait for the store,
    # when a gateway stops.
    async def scenario(store):
        _, second, running = await start_and_hand_on(store)
        while not second.batch.is_complete:
            await second.batch.wait_for_change(1.0)
        resumed_at = second.resumed_at()
        for item_id, progress in running.progress_by_item.items():
            assert 1 < len(progress.events) < 10
            assert resumed_at[item_id] == len(progress.events)
        assert {len(r.text.splitlines()) for r in second.batch.results} == {10}

    run(scenario)


def test_texts_go_on_while_the_store_is_away():
    # Guards against items that wait for the store to come back when a gateway
    # is stopped during an outage.
    async def scenario(store):
        _, second, _ = await start_and_hand_on(store, is_store_away=True)
        await asyncio.sleep(0.1)
        assert set(second.resumed_at()) == {"a", "b"}
        assert not second.batch.results
        store.is_down = False
        while not second.batch.is_complete:
            await second.batch.wait_for_change(1.0)

    run(scenario)


def test_peer_that_knows_the_batch_runs_it_from_now_on():
    # Guards against a batch that its new owner leaves to the old one, since it
    # has read it before.
    async def scenario(store):
        _, second, _ = await start_and_hand_on(store, is_known=True)
        assert second.batch.submission.owner == "second"
        while not second.batch.is_complete:
            await second.batch.wait_for_change(1.0)

    run(scenario)


def test_batch_that_has_ended_meanwhile_is_stopped():
    # Guards against items that run on after the end of their batch, which the
    # process that stops did not know of.
    async def scenario(store):
        first, second, _ = await start_and_hand_on(store, pause_s=5.0)
        failure = await BatchService(
            first.environment.batch_registry, first.environment.log, CLOCK
        ).end("account", "batch", CLOCK.monotonic() + 1)
        assert failure is None
        await second.batch.wait_for_change(2.0)
        assert second.batch.is_ended

    run(scenario)


def test_nothing_is_handed_on_of_a_complete_batch():
    async def scenario(store):
        process = Process("first", store, 0.0)
        await process.environment.log.add_submission(
            submission("batch", item("a"), owner="first"),
            CLOCK.monotonic() + 1,
        )
        while not process.batch.is_complete:
            await process.batch.wait_for_change(1.0)
        assert await process.runner.stop() == []

    run(scenario)

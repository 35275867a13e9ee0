"""Batches run on their owner, and never after their end."""

import asyncio

from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.checkpoints import (
    CHECKPOINT_INTERVAL_S,
    PROGRESS_KIND,
    Checkpoints,
)
from shallotstand.batches.progress import Progress
from shallotstand.batches.records import (
    BATCH_LOG_KIND,
    END_SUFFIX,
    Result,
    ResultState,
    entry_name,
    text_key,
)
from shallotstand.batches.registry import BatchRegistry
from shallotstand.batches.runner import REVIEW_INTERVAL_S, UNCLAIMED_TIMEOUT_S
from shallotstand.core.codes import ResultCode
from shallotstand.documents.protocols import Change
from shallotstand.standins.memory_engines import MemoryStream, numbered_events

from .conftest import item, submission
from .runner_harness import make_deadline, run, until


def test_every_item_is_listed(environment):
    async def scenario(runner):
        batch = submission("batch", *(item(f"i{n}") for n in range(6)))
        await environment.log.add_submission(batch, make_deadline(environment))
        await until(
            lambda: environment.batch_registry.by_id["batch"].is_complete
        )
        await until(lambda: not runner.is_running_batch("batch"))

    run(environment, scenario)


def test_batch_waits_for_the_configuration_that_admitted_it(environment):
    # Guards against a process that lists the items of a batch as lost, since
    # its configuration is older than the one under which a peer accepted it.
    async def scenario(runner):
        route, environment.rollouts_route = environment.rollouts_route, None
        batch = submission("batch", item("a"), config_version=2)
        known = await environment.log.add_submission(
            batch, make_deadline(environment)
        )
        await asyncio.sleep(3 * REVIEW_INTERVAL_S)
        assert known.results == []
        assert runner.claimed_batch_ids() == ()
        environment.config_version = 2
        environment.rollouts_route = route
        await until(lambda: known.is_complete)
        assert [r.state for r in known.results] == [ResultState.COMPLETED]

    run(environment, scenario)


def test_batch_that_waited_is_checked_for_its_end_first(environment):
    # Guards against running items of a batch that a peer has taken over and
    # that has ended while its owner waited.
    async def scenario(runner):
        batch = submission("batch", item("a"), config_version=2)
        known = await environment.log.add_submission(
            batch, make_deadline(environment)
        )
        await environment.store.create(
            BATCH_LOG_KIND, entry_name("batch", END_SUFFIX), {"ended_at": 0}
        )
        environment.config_version = 2
        await until(lambda: known.is_ended)
        await until(lambda: not runner.is_running_batch("batch"))
        assert environment.engines.sent == []

    run(environment, scenario)


def test_items_of_a_removed_route_are_lost(environment):
    # Guards against batches that stay open until they expire.
    async def scenario(_):
        environment.rollouts_route = None
        environment.config_version = 3
        batch = submission("batch", item("a"), config_version=2)
        known = await environment.log.add_submission(
            batch, make_deadline(environment)
        )
        await until(lambda: known.is_complete)
        assert [r.state for r in known.results] == [ResultState.LOST]

    run(environment, scenario)


def test_end_stops_the_items(environment):
    async def scenario(runner):
        environment.engines.stream = lambda _: MemoryStream([5.0], 1)
        batch = submission("batch", item("a"), item("b"))
        known = await environment.log.add_submission(
            batch, make_deadline(environment)
        )
        await until(lambda: len(environment.engines.sent) == 2)
        await environment.log.add_end(known, make_deadline(environment))
        await until(lambda: not runner.is_running_batch("batch"))
        assert environment.batch_registry.by_id["batch"].results == []

    run(environment, scenario)


def test_batch_of_another_process_is_checked_for_its_end_first(environment):
    # Guards against running items of an ended batch: a watch that hung for 20 s
    # did not report the end, and the process that took the batch over ran items
    # 11 s after the end.
    async def scenario(runner):
        batch = submission("batch", item("a"), owner="gateway-2")
        await environment.log.add_submission(batch, make_deadline(environment))
        documents = (await environment.store.list(BATCH_LOG_KIND)).documents
        await environment.store.create(
            BATCH_LOG_KIND, entry_name("batch", END_SUFFIX), {"ended_at": 0}
        )
        environment.batch_registry.receive_change(Change(documents[0], False))
        await until(lambda: environment.batch_registry.by_id["batch"].is_ended)
        await asyncio.sleep(0.05)
        assert environment.engines.sent == []

    run(environment, scenario)


def test_items_that_another_process_lists_are_cancelled(environment):
    async def scenario(runner):
        environment.engines.stream = lambda _: MemoryStream([5.0], 1)
        batch = submission("batch", item("a"))
        known = await environment.log.add_submission(
            batch, make_deadline(environment)
        )
        await until(lambda: len(environment.engines.sent) == 1)
        listed = Result("a", ResultState.COMPLETED, "text", (1,), "seal")
        await environment.log.append(known, [listed])
        await until(lambda: not runner.is_running_batch("batch"))

    run(environment, scenario)


def test_batch_known_by_name_only_is_read_and_run_if_nobody_runs_it(
    environment,
):
    async def scenario(runner):
        other = BatchLog(
            environment.store, BatchRegistry(), environment.dependencies.clock
        )
        batch = submission("batch", item("a"), owner="gateway-2")
        await other.add_submission(batch, make_deadline(environment))
        documents = (await environment.store.list(BATCH_LOG_KIND)).documents
        environment.batch_registry.receive_change(
            Change(documents[0]._replace(spec=None), False)
        )
        assert environment.batch_registry.unread_ids == {"batch"}
        await until(lambda: environment.batch_registry.by_id)
        await until(
            lambda: environment.batch_registry.by_id["batch"].is_complete
        )

    run(environment, scenario)


def test_batch_that_a_peer_abandoned_is_read_at_once(environment):
    async def scenario(runner):
        started = environment.dependencies.clock.monotonic()
        environment.batch_registry.unread_ids.add("claimed")
        await until(
            lambda: ("get", BATCH_LOG_KIND) in environment.store.call_counts
        )
        assert (
            environment.dependencies.clock.monotonic() - started
            < UNCLAIMED_TIMEOUT_S / 2
        )

    run(environment, scenario)


def test_texts_of_a_stopping_process_stay_in_the_store(environment):
    # Guards against a rolling restart that starts every batch over: the end of
    # a run must not remove its text from the store before a peer has read it.
    async def scenario(runner):
        environment.engines.stream = lambda _: MemoryStream(
            [*numbered_events(1, 9), 5.0], 1
        )
        await environment.log.add_submission(
            submission("batch", item("a")), make_deadline(environment)
        )
        checkpoints = runner._checkpoints
        writing = asyncio.create_task(checkpoints.run())
        await until(checkpoints._records)
        await checkpoints.write_final(1.0)
        await runner.stop()
        await asyncio.sleep(CHECKPOINT_INTERVAL_S * 1.2)
        loaded = await checkpoints.load()
        key = text_key("account", item("a"))
        assert len(loaded[key].events) == 9
        assert writing.done()

    run(environment, scenario)


def test_running_and_complete_batches_are_claimed(environment):
    async def scenario(runner):
        await environment.log.add_submission(
            submission("batch", item("a")), make_deadline(environment)
        )
        assert runner.claimed_batch_ids() == ("batch",)
        await until(
            lambda: environment.batch_registry.by_id["batch"].is_complete
        )
        await until(lambda: not runner.is_running_batch("batch"))
        assert runner.claimed_batch_ids() == ("batch",)

    run(environment, scenario)


def test_complete_batch_is_claimed_by_a_process_that_read_it(environment):
    # Guards against needless reads: after the restart of a batch's gateway,
    # every process that was asked for the batch read all of it from the store,
    # which took 7,889 calls in one day of rolling restarts.
    async def scenario(runner):
        other = BatchLog(
            environment.store, BatchRegistry(), environment.dependencies.clock
        )
        batch = submission("batch", item("a"), owner="gateway-2")
        known = await other.add_submission(batch, make_deadline(environment))
        done = Result("a", ResultState.COMPLETED, "text", (1,), "seal")
        await other.append(known, [done])
        assert runner.claimed_batch_ids() == ()
        await environment.log.read("batch")
        await until(lambda: not runner.is_running_batch("batch"))
        assert runner.claimed_batch_ids() == ("batch",)
        assert environment.engines.sent == []

    run(environment, scenario)


def test_open_batch_whose_run_ended_is_not_claimed(environment):
    async def scenario(runner):
        environment.engines.stream = lambda _: MemoryStream([5.0], 1)
        await environment.log.add_submission(
            submission("batch", item("a")), make_deadline(environment)
        )
        await runner.stop()
        await until(lambda: not runner.is_running_batch("batch"))
        assert environment.batch_registry.by_id["batch"].is_open
        assert runner.claimed_batch_ids() == ()

    run(environment, scenario)


def test_removed_batch_is_no_longer_unread(environment):
    async def scenario(runner):
        environment.batch_registry.unread_ids.add("gone")
        await until(lambda: not environment.batch_registry.unread_ids)
        assert environment.engines.sent == []

    run(environment, scenario)


def test_unconfirmed_submission_is_run_once_a_peer_reports_it(environment):
    # The caller got no answer, but this process is still the batch's owner.
    async def scenario(runner):
        environment.store.lost_answers = 1
        batch = submission("batch", item("a"))
        outcome = await environment.log.add_submission(batch, 0.0)
        assert outcome.code == ResultCode.OUTCOME_UNKNOWN
        assert environment.log.has_unconfirmed_submission("batch")
        documents = (await environment.store.list(BATCH_LOG_KIND)).documents
        environment.batch_registry.receive_change(
            Change(documents[0]._replace(spec=None), False)
        )
        await until(lambda: environment.batch_registry.by_id)
        await until(
            lambda: environment.batch_registry.by_id["batch"].is_complete
        )

    run(environment, scenario)


def test_resubmitted_group_is_not_generated_again(environment):
    async def scenario(runner):
        first = submission("first", item("a"))
        await environment.log.add_submission(first, make_deadline(environment))
        await until(
            lambda: environment.batch_registry.by_id["first"].is_complete
        )
        sent = len(environment.engines.sent)
        again = submission(
            "second", item("a", scorer=item("a").scorer._replace(id="s2"))
        )
        await environment.log.add_submission(again, make_deadline(environment))
        await until(
            lambda: environment.batch_registry.by_id["second"].is_complete
        )
        assert environment.batch_registry.by_id["second"].results[0].text == (
            environment.batch_registry.by_id["first"].results[0].text
        )
        assert [s.endpoint for s in environment.engines.sent[sent:]] == ["s"]

    run(environment, scenario)


def test_texts_that_another_process_checkpointed_are_resumed(environment):
    def stream(sent):
        last = sent.request.last_event_id or 0
        return MemoryStream(numbered_events(last + 1, 12), 1)

    async def scenario(runner):
        environment.engines.stream = stream
        other = Checkpoints(environment.store, "node-2")
        progress = Progress()
        progress.events = [event.data for event in numbered_events(1, 8)]
        progress.versions = [1] * 8
        other.track(text_key("account", item("a")), progress)
        writing = asyncio.create_task(other.run())
        await until(
            lambda: environment.store.call_counts["create", PROGRESS_KIND]
        )
        writing.cancel()
        batch = submission("batch", item("a"), owner="gateway-2")
        await environment.log.add_submission(batch, make_deadline(environment))
        await until(
            lambda: environment.batch_registry.by_id["batch"].is_complete
        )
        assert environment.engines.sent[0].request.last_event_id == 8
        assert environment.batch_registry.by_id["batch"].results[
            0
        ].text == "\n".join(event.data for event in numbered_events(1, 12))

    run(environment, scenario)

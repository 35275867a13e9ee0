"""Which items share texts: only those of one account with one request."""

import pytest
from shallotstand.batches.checkpoints import Checkpoints
from shallotstand.batches.progress import Progress
from shallotstand.batches.records import text_key
from shallotstand.standins.memory_engines import MemoryStream, numbered_events

from .conftest import item, submission
from .runner_harness import make_deadline, run, until

OTHERS = {
    "another account": ("other", {}),
    "another body": ("account", {"body": b"other"}),
    "another path": ("account", {"target": "/rollouts/2"}),
}


def number_streams(environment):
    """Lets each run of an item have a text of its own."""
    runs = []

    def stream(sent):
        runs.append(sent.request)
        last = sent.request.last_event_id or 0
        return MemoryStream(
            [
                event._replace(data=f"{event.data} of run {len(runs)}")
                for event in numbered_events(last + 1, 8)
            ],
            1,
        )

    environment.engines.stream = stream
    return runs


async def run_batch(environment, batch):
    """Runs a batch; returns the text of its only item."""
    await environment.log.add_submission(batch, make_deadline(environment))
    known = environment.batch_registry.by_id
    await until(lambda: batch.id in known and known[batch.id].is_complete)
    return known[batch.id].results[0].text


@pytest.mark.parametrize("other", OTHERS)
def test_item_of_the_same_name_gets_a_text_of_its_own(environment, other):
    # Guards against an account that reads the text of another, or counts as
    # having run what it has not, since it names the item alike.
    account, fields = OTHERS[other]

    async def scenario(runner):
        runs = number_streams(environment)
        first = await run_batch(environment, submission("first", item("a")))
        second = await run_batch(
            environment,
            submission("second", item("a", **fields), account=account),
        )
        assert first != second
        assert [run.account for run in runs] == ["account", account]
        third = await run_batch(environment, submission("third", item("a")))
        assert third == first

    run(environment, scenario)


@pytest.mark.parametrize("other", OTHERS)
def test_checkpoint_of_another_request_is_not_continued(environment, other):
    # Guards against a text that begins with that of another account's item.
    account, fields = OTHERS[other]

    async def scenario(runner):
        runs = number_streams(environment)
        progress = Progress()
        progress.events = [event.data for event in numbered_events(1, 6)]
        progress.versions = [1] * 6
        checkpoints = Checkpoints(environment.store, "node-2")
        checkpoints.track(text_key(account, item("a", **fields)), progress)
        await checkpoints.write_final(1.0)
        await run_batch(
            environment, submission("b", item("a"), owner="gateway-2")
        )
        assert [run.last_event_id for run in runs] == [None]

    run(environment, scenario)


def test_items_of_the_same_name_run_side_by_side(environment):
    # Guards against a checkpoint that holds one of two texts under the name of
    # both.
    own, other = item("a"), item("a", body=b"other")
    texts = [Progress(), Progress()]
    checkpoints = Checkpoints(environment.store, "node-1")
    for known, progress, count in zip((own, other), texts, (5, 7), strict=True):
        progress.events = [event.data for event in numbered_events(1, count)]
        progress.versions = [1] * count
        checkpoints.track(text_key("account", known), progress)
    checkpoints.untrack(text_key("account", own))

    async def scenario(runner):
        await checkpoints.write_final(1.0)
        loaded = await checkpoints.load()
        (key,) = loaded
        assert key == text_key("account", other)
        assert len(loaded[key].events) == 7

    run(environment, scenario)

"""Exactly-once handover under kills, lost answers and concurrent holders."""

import asyncio
import itertools

import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.types import RolloutJob
from shallotstand.platform.conditional import Backoff
from shallotstand.rollout.handover import Handover
from shallotstand.rollout.ledger import JobLedger, LedgerState
from shallotstand.rollout.manifest import Manifest, manifest_key
from shallotstand.rollout.samples import Sample, VersionSpan
from shallotstand.rollout.staleness import ModelVersions
from shallotstand.standins.object_store import StandinObjectStore, StoreFaults

JOB = RolloutJob("job", "acct", "drafts", 2, 2, 1, "", "", 60.0)
PROMPTS = ("a", "b")
VERSIONS = ModelVersions({f"v{n}": n for n in range(1, 50)}, 1)


BACKOFF = Backoff(attempts=3, first_s=0.0)


class Lease:
    """A lease that never lapses by itself."""

    def __init__(self, epoch):
        self.epoch = epoch
        self.is_held = True
        self.time_left_s = 7.0
        self.holder_address = ""


class KilledError(Exception):
    """The holder's process ended."""


class CutStore(StandinObjectStore):
    """Shows one fault at the n-th write."""

    def __init__(self, write, fault):
        super().__init__()
        self.left = write
        self.fault = fault

    async def put(self, key, value, expected_version):
        self.left -= 1
        if self.left != 0:
            return await super().put(key, value, expected_version)
        if self.fault == "killed before":
            raise KilledError
        if self.fault == "not written":
            return Failure(ResultCode.STORE_UNAVAILABLE, "")
        await super().put(key, value, expected_version)
        if self.fault == "killed after":
            raise KilledError
        return Failure(ResultCode.STORE_UNAVAILABLE, "")


def holder(store, epoch):
    ledger = JobLedger(store, "job", Lease(epoch), BACKOFF)
    return Handover(JOB, ledger, VERSIONS)


async def take(store, epoch):
    """Starts a holder; repeats as the service does."""
    new = holder(store, epoch)
    while await new.take_over(epoch) is not None:
        pass
    return new


def sample(sample_id, version="v1"):
    return Sample(
        sample_id, f"text {sample_id}", (VersionSpan(version, 3),), 1, 3, 0.5
    )


def fill(handover, step, retained, version="v1"):
    """Offers the retained samples, then generates the missing ones."""
    for kept in list(retained):
        handover.add(kept)
    held = handover.steps_by_number[step]
    if held.manifest is None:
        for slot in held.collector.missing():
            made = sample(handover.next_id(slot), version)
            assert handover.add(made) is None
            retained.append(made._replace(score=None))


async def sealed(handover, step=0, version="v1"):
    retained = []
    assert await handover.open(step, PROMPTS) is None
    fill(handover, step, retained, version)
    assert await handover.seal(step) is None
    return retained


def run(check):
    asyncio.run(check())


def check_used(used, state: LedgerState):
    """The oracle: whole steps, in order, each counted as the trainer did."""
    assert [step for step, _, _ in used] == list(range(len(used)))
    ids = [s["id"] for _, _, body in used for s in body["samples"]]
    assert len(ids) == len(set(ids)) == 4 * len(used)
    for step, digest, body in used:
        places = {(s["group"], s["index"]) for s in body["samples"]}
        assert places == set(itertools.product(range(2), range(2)))
        assert state.acknowledged[step].digest == digest
    assert state.next_step == len(used)


async def train(store, steps, keep_retained):
    """Runs a trainer over holders that may be killed at any write."""
    epochs = itertools.count(1)
    retained, used, current, fetched = [], [], None, None
    while len(used) < steps:
        step = len(used)
        try:
            current = current or await take(store, next(epochs))
            if fetched is None:
                await current.open(step, PROMPTS)
                fill(current, step, retained)
                if isinstance(await current.seal(step), Failure):
                    continue
                answer = await current.fetch(step)
                if isinstance(answer, Failure):
                    await current.reopen(step)
                    continue
                fetched = answer
            failure = await current.acknowledge(step, fetched.digest)
            if failure is None:
                used.append((step, fetched.digest, orjson.loads(fetched.body)))
                fetched = None
            elif failure.code == ResultCode.STEP_RESEALED:
                fetched = None
        except KilledError:
            current = None
            if not keep_retained:
                retained.clear()
    final = holder(store, next(epochs))
    await final.take_over(9)
    check_used(used, final._ledger.state)


@pytest.mark.parametrize("keep_retained", [True, False])
@pytest.mark.parametrize(
    "fault", ["killed before", "killed after", "not written", "lost answer"]
)
@pytest.mark.parametrize("write", range(1, 8))
def test_a_fault_at_any_write_neither_loses_nor_repeats_a_sample(
    write, fault, keep_retained
):
    # The writes are: take-over, then manifest, ledger, acknowledgement of
    # each step. Guards the gap between each pair of them.
    store = CutStore(write, fault)
    run(lambda: train(store, 2, keep_retained))
    assert store.left <= 0


def test_killed_trainer_fetches_the_same_bytes_before_it_acknowledged():
    async def check():
        store = StandinObjectStore()
        first = await take(store, 1)
        retained = await sealed(first)
        before = await first.fetch(0)
        assert await first.fetch(0) == before
        second = await take(store, 2)
        await second.open(0, PROMPTS)
        fill(second, 0, retained)
        assert await second.fetch(0) == before

    run(check)


def test_killed_trainer_gets_the_same_answer_after_it_acknowledged():
    async def check():
        store = StandinObjectStore()
        first = await take(store, 1)
        await sealed(first)
        digest = (await first.fetch(0)).digest
        assert await first.acknowledge(0, digest) is None
        assert await first.acknowledge(0, digest) is None
        assert (await first.fetch(0)).code == ResultCode.STEP_ACKNOWLEDGED
        second = await take(store, 2)
        assert await second.acknowledge(0, digest) is None
        assert (await second.fetch(0)).code == ResultCode.STEP_ACKNOWLEDGED
        other = await second.acknowledge(0, "other")
        assert other.code == ResultCode.STEP_ACKNOWLEDGED

    run(check)


def test_superseded_holder_can_neither_seal_nor_acknowledge():
    async def check():
        store = StandinObjectStore()
        first = await take(store, 1)
        await sealed(first)
        digest = (await first.fetch(0)).digest
        second = await take(store, 2)
        refused = await first.acknowledge(0, digest)
        assert refused.code == ResultCode.NOT_JOB_HOLDER
        assert second._ledger.state.next_step == 0
        # A holder that starts late with a lower epoch must not take it back.
        late = await holder(store, 1).take_over(1)
        assert late.code == ResultCode.NOT_JOB_HOLDER

    run(check)


def test_first_of_two_samples_for_a_slot_is_kept():
    async def check():
        handover = await take(StandinObjectStore(), 1)
        await handover.open(0, PROMPTS)
        slot = handover.steps_by_number[0].collector.missing()[0]
        first, second = (sample(handover.next_id(slot)) for _ in range(2))
        assert handover.add(first) is None
        assert handover.add(second).code == ResultCode.STEP_CONFLICT
        held = handover.steps_by_number[0].collector.samples_by_slot
        assert held == {slot: first}

    run(check)


def test_stale_or_unknown_sample_is_never_taken():
    async def check():
        handover = await take(StandinObjectStore(), 1)
        await handover.open(0, PROMPTS)
        slot = handover.steps_by_number[0].collector.missing()[0]
        handover.see_versions(("v5",))
        for version, code in (
            ("v3", ResultCode.SAMPLE_STALE),
            ("", ResultCode.VERSION_UNKNOWN),
            ("none", ResultCode.VERSION_UNKNOWN),
        ):
            made = sample(handover.next_id(slot), version)
            assert handover.add(made).code == code
        # The oldest span counts, though the answer went on with a new one.
        spans = (VersionSpan("v3", 1), VersionSpan("v5", 2))
        mixed = sample(handover.next_id(slot))._replace(spans=spans)
        assert handover.add(mixed).code == ResultCode.SAMPLE_STALE
        assert handover.add(sample(handover.next_id(slot), "v4")) is None

    run(check)


def test_sample_that_became_stale_is_replaced_before_the_seal():
    async def check():
        handover = await take(StandinObjectStore(), 1)
        await handover.open(0, PROMPTS)
        fill(handover, 0, [])
        handover.see_versions(("v3",))
        refused = await handover.seal(0)
        assert refused.code == ResultCode.STEP_INCOMPLETE
        assert len(handover.steps_by_number[0].collector.missing()) == 4

    run(check)


@pytest.mark.parametrize("at", ["fetch", "acknowledge"])
def test_sealed_step_that_became_stale_opens_the_next_generation(at):
    async def check():
        store = StandinObjectStore()
        handover = await take(store, 1)
        await sealed(handover)
        old = (await handover.fetch(0)).digest
        handover.see_versions(("v3",))
        if at == "fetch":
            refused = await handover.fetch(0)
            assert refused.code == ResultCode.STEP_INCOMPLETE
        refused = await handover.acknowledge(0, old)
        assert refused.code == ResultCode.STEP_RESEALED
        fill(handover, 0, [], "v3")
        assert await handover.seal(0) is None
        new = await handover.fetch(0)
        assert orjson.loads(new.body)["generation"] == 2
        refused = await handover.acknowledge(0, old)
        assert refused.code == ResultCode.STEP_RESEALED
        assert await handover.acknowledge(0, new.digest) is None

    run(check)


def test_newest_version_survives_the_holder():
    # A new holder whose engines have not reported yet must not think that an
    # older version is the newest.
    async def check():
        store = StandinObjectStore()
        first = await take(store, 1)
        await sealed(first)
        digest = (await first.fetch(0)).digest
        first.see_versions(("v9",))
        assert await first._ledger.flush() is None
        second = await take(store, 2)
        refused = await second.acknowledge(0, digest)
        assert refused.code == ResultCode.STEP_RESEALED

    run(check)


def test_step_stays_sealed_while_the_store_is_down_at_acknowledgement():
    async def check():
        store = StandinObjectStore()
        handover = await take(store, 1)
        await sealed(handover)
        answer = await handover.fetch(0)
        store.faults = StoreFaults(down=True)
        refused = await handover.acknowledge(0, answer.digest)
        assert refused.code == ResultCode.STORE_UNAVAILABLE
        assert await handover.fetch(0) == answer
        store.faults = StoreFaults()
        assert await handover.acknowledge(0, answer.digest) is None

    run(check)


def test_prompts_steps_and_order_are_checked():
    async def check():
        handover = await take(StandinObjectStore(), 1)
        await sealed(handover, 0)
        await sealed(handover, 1)
        later = (await handover.fetch(1)).digest
        for refused, code in (
            (await handover.open(0, ("a", "c")), ResultCode.STEP_CONFLICT),
            (await handover.open(0, ("a",)), ResultCode.BAD_REQUEST),
            (await handover.open(9, PROMPTS), ResultCode.STEP_OUT_OF_ORDER),
            (await handover.fetch(2), ResultCode.STEP_UNKNOWN),
            (
                await handover.acknowledge(1, later),
                ResultCode.STEP_OUT_OF_ORDER,
            ),
        ):
            assert refused.code == code

    run(check)


class LateLedgerStore(StandinObjectStore):
    """Holds back the next writes of the ledger until `deliver_late`."""

    late_ledger_writes = 0

    async def put(self, key, value, expected_version):
        if key != "ledger/job" or self.late_ledger_writes == 0:
            return await super().put(key, value, expected_version)
        self.late_ledger_writes -= 1
        self._late.append((key, value, expected_version))
        return Failure(ResultCode.STORE_UNAVAILABLE, "")

    def ledger_states(self):
        """Returns every state that the ledger object had."""
        return [
            LedgerState.from_value(orjson.loads(held.value))
            for held in self.history
            if held.key == "ledger/job"
        ]


def check_transition(before, after):
    """The oracle of one ledger write: a sealed step stays as it is.

    It may only be acknowledged or open its next generation.
    """
    assert after.epoch >= before.epoch
    assert after.newest_version >= before.newest_version
    for number, step in before.steps.items():
        if not step.sealed:
            continue
        if number in after.acknowledged:
            assert after.acknowledged[number].digest == step.sealed
        else:
            held = after.steps[number]
            assert held == step or held[::2] == (step.generation + 1, "")


def check_body(store, step, answer):
    """The oracle of a fetch: the body is what the ledger once sealed."""
    sealed = {
        s.steps[step].sealed for s in store.ledger_states() if step in s.steps
    }
    assert answer.digest in sealed
    body = orjson.loads(answer.body)
    key = manifest_key("job", step, body["generation"])
    manifest = Manifest.from_bytes(store._objects_by_key[key].value)
    assert manifest.digest == answer.digest
    for entry, made in zip(manifest.entries, body["samples"], strict=True):
        spans = [span._asdict() for span in entry.spans]
        assert made["id"] == entry.sample_id.to_text()
        assert made["weight_spans"] == spans
        assert made["score"] == entry.score
        assert made["text"] == f"text {entry.sample_id}"


def oldest_version(answer):
    return min(
        int(span["version"][1:])
        for made in orjson.loads(answer.body)["samples"]
        for span in made["weight_spans"]
    )


class HandoverMachine(RuleBasedStateMachine):
    """Trainer, holders and store in any order, against a list of steps used."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = LateLedgerStore()
        self.scores = itertools.count(1)
        self.epoch = 0
        self.newest = 1
        self.retained = []
        self.used = []
        self.fetched = None
        self.in_doubt = False
        self.old = None
        self.current = None

    def wait(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def wait_late(self, coroutine):
        """Runs a superseded holder's call, which must not write the ledger."""
        before = len(self.store.ledger_states())
        result = self.wait(coroutine)
        assert len(self.store.ledger_states()) == before
        return result

    def ask(self, late, coroutine):
        return (self.wait_late if late else self.wait)(coroutine)

    def scored(self, made):
        """Scores a sample; the scorer never repeats a score."""
        return made._replace(score=float(next(self.scores)))

    @property
    def step(self):
        return len(self.used)

    @initialize()
    def start(self):
        self.change_holder(lose=False)

    @rule(lose=st.booleans())
    def change_holder(self, lose):
        self.epoch += 1
        new = holder(self.store, self.epoch)
        if self.wait(new.take_over(self.epoch)) is None:
            self.old, self.current = self.current, new
        if lose:
            self.retained = self.retained[1:]

    @rule()
    def start_with_an_old_epoch(self):
        states = self.store.ledger_states()
        if states and states[-1].epoch > 1:
            epoch = states[-1].epoch - 1
            late = holder(self.store, epoch)
            assert self.wait_late(late.take_over(epoch)) is not None

    @rule()
    def regain_the_lease_without_reading(self):
        lease = self.current and self.current._ledger._lease
        if lease:
            lease.epoch += 1
            self.current._ledger.note_newest(self.newest)
            refused = self.wait_late(self.current._ledger.reopen(self.step, ""))
            assert refused.code == ResultCode.NOT_JOB_HOLDER
            lease.epoch -= 1

    @rule(
        late=st.booleans(),
        whole=st.booleans(),
        age=st.sampled_from([0, 0, 0, 1, 2, None]),
    )
    def prepare(self, late, whole, age):
        """Opens the step and makes samples, in part or as a whole."""
        at = self.old if late else self.current
        if at is None or self.wait(at.open(self.step, PROMPTS)) is not None:
            return
        step = at.steps_by_number[self.step]
        for kept in self.retained:
            if step.manifest is not None:
                assert at.add(kept._replace(text="other")) is not None
            at.add(self.scored(kept))
        if step.manifest is None:
            version = "" if age is None else f"v{max(1, self.newest - age)}"
            missing = step.collector.missing()
            for slot in missing if whole else missing[:1]:
                made = self.scored(sample(at.next_id(slot), version))
                at.add(made)
                self.retained.append(made._replace(score=None))
        elif whole and not step.is_ready:
            self.ask(late, at.reopen(self.step))
        if whole:
            self.ask(late, at.seal(self.step))

    @rule(versions=st.integers(1, 3))
    def publish(self, versions):
        self.newest += versions
        if self.current:
            self.current.see_versions((f"v{self.newest}",))

    @rule(late=st.booleans())
    def fetch(self, late):
        at = self.old if late else self.current
        if at and not self.in_doubt:
            answer = self.ask(late, at.fetch(self.step))
            if not isinstance(answer, Failure):
                check_body(self.store, self.step, answer)
                assert late or at.versions.newest - oldest_version(answer) <= 1
                self.fetched = answer

    @precondition(lambda self: self.fetched is not None)
    @rule(late=st.booleans())
    def acknowledge(self, late):
        at = self.old if late else self.current
        if at is None:
            return
        failure = self.ask(late, at.acknowledge(self.step, self.fetched.digest))
        if failure is None:
            assert not late
            body = orjson.loads(self.fetched.body)
            age = at.versions.newest - oldest_version(self.fetched)
            assert self.in_doubt or age <= 1
            self.used.append((self.step, self.fetched.digest, body))
            self.fetched, self.in_doubt = None, False
        elif failure.code == ResultCode.STEP_RESEALED:
            self.fetched, self.in_doubt = None, False
        else:
            assert failure.code != ResultCode.STEP_ACKNOWLEDGED
            self.in_doubt = True

    @rule()
    def age_a_step_before_its_acknowledgement(self):
        self.store.faults = StoreFaults()
        self.prepare(late=False, whole=True, age=0)
        self.fetch(late=False)
        self.publish(versions=2)
        if self.fetched:
            self.acknowledge(late=False)

    @rule()
    def seal_again_while_the_first_seal_is_late(self):
        self.store.faults = StoreFaults()
        self.publish(versions=2)
        self.fetch(late=False)  # opens the next generation
        self.store.late_ledger_writes = BACKOFF.attempts
        self.prepare(late=False, whole=True, age=0)
        self.store.late_ledger_writes = 0
        self.deliver_late()
        self.prepare(late=False, whole=True, age=0)
        self.fetch(late=False)

    @rule()
    def name_another_digest(self):
        if self.current is None:
            return
        refused = self.wait(self.current.acknowledge(self.step, "other"))
        assert refused is not None
        before = self.generation()
        self.wait(self.current._ledger.reopen(self.step, "other"))
        assert before in (None, self.generation())

    def generation(self):
        states = self.store.ledger_states()
        step = states[-1].steps.get(self.step) if states else None
        return step and step.generation

    @rule()
    def repeat_acknowledgement(self):
        if self.used and self.current:
            step, digest, _ = self.used[-1]
            failure = self.wait(self.current.acknowledge(step, digest))
            assert failure is None or failure.code in (
                ResultCode.STORE_UNAVAILABLE,
                ResultCode.NOT_JOB_HOLDER,
            )

    @rule(
        faults=st.sampled_from(
            [
                StoreFaults(),
                StoreFaults(),
                StoreFaults(),
                StoreFaults(down=True),
                StoreFaults(lost_answers=1.0),
                StoreFaults(late_writes=3),
                StoreFaults(lost_answers=0.5, late_writes=1),
            ]
        )
    )
    def break_store(self, faults):
        self.store.faults = faults

    @rule(writes=st.sampled_from([1, BACKOFF.attempts, BACKOFF.attempts]))
    def hold_ledger_writes(self, writes):
        self.store.late_ledger_writes = writes

    @rule()
    def deliver_late(self):
        self.wait(self.store.deliver_late())

    @rule()
    def flush(self):
        if self.current:
            self.wait(self.current._ledger.flush())

    @invariant()
    def sealed_steps_stay(self):
        for pair in itertools.pairwise(self.store.ledger_states()):
            check_transition(*pair)

    @invariant()
    def used_steps_are_the_ledgers(self):
        held = self.store._objects_by_key.get("ledger/job")
        state = LedgerState.from_value(held and orjson.loads(held.value))
        counted = self.used
        if state.next_step == len(self.used) + 1:
            # The acknowledgement took effect, but its answer was lost.
            assert self.in_doubt
            assert state.acknowledged[self.step].digest == self.fetched.digest
            body = orjson.loads(self.fetched.body)
            counted = [*counted, (self.step, self.fetched.digest, body)]
        check_used(counted, state)

    def teardown(self):
        self.loop.close()


TestHandoverMachine = HandoverMachine.TestCase
TestHandoverMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)

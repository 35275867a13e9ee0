"""Hands complete steps to the trainer; acknowledgement is the commit point."""

import asyncio
import hashlib
import itertools
from typing import NamedTuple

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.types import RolloutJob
from shallotstand.rollout.collector import StepCollector
from shallotstand.rollout.ledger import JobLedger
from shallotstand.rollout.manifest import Manifest, ManifestEntry
from shallotstand.rollout.samples import Sample
from shallotstand.rollout.slots import (
    SampleId,
    SampleSlot,
    first_attempt_number,
)
from shallotstand.rollout.staleness import ModelVersions

_DIGEST_BYTES = 16


class StepBody(NamedTuple):
    """A sealed step as sent to the trainer.

    Attributes:
      digest: Digest of the manifest, sent as ETag.
      body: JSON; identical in every fetch of one generation.
    """

    digest: str
    body: bytes


class OpenStep:
    """A step that is not acknowledged yet, at the holder of its job.

    Attributes:
      prompts: Prompts by group.
      collector: Samples of the step.
      manifest: Manifest; None while the step is not sealed.
      digest: Digest of the manifest; empty while the step is not sealed.
      changed: Set when samples have to be generated or sealed, and when the
        step is sealed or closed; the step's task clears it before it waits.
      ready: Set while the step can be handed over, and permanently once the
        step is closed.
    """

    def __init__(
        self, job: str, step: int, prompts: tuple[str, ...], group_size: int
    ):
        self.prompts = prompts
        self.collector = StepCollector(
            SampleSlot(job, step, group, index)
            for group, index in itertools.product(
                range(len(prompts)), range(group_size)
            )
        )
        self.manifest: Manifest | None = None
        self.digest = ""
        self.changed = asyncio.Event()
        self.ready = asyncio.Event()
        self._entry_by_slot: dict[SampleSlot, ManifestEntry] = {}

    @property
    def is_ready(self) -> bool:
        """Whether the step can be handed over."""
        return self.manifest is not None and self.collector.is_full

    def seal(self, manifest: Manifest) -> None:
        """Fixes the content of the step; drops samples not in the manifest."""
        self.manifest = manifest
        self.digest = manifest.digest
        self._entry_by_slot = {
            entry.sample_id.slot: entry for entry in manifest.entries
        }
        samples_by_slot = self.collector.samples_by_slot
        for slot, sample in list(samples_by_slot.items()):
            if self.with_sealed_score(sample) is None:
                del samples_by_slot[slot]
        self.notify_change()

    def notify_change(self) -> None:
        """Wakes the tasks that wait for the step."""
        self.changed.set()
        if self.is_ready:
            self.ready.set()

    def close(self) -> None:
        """Wakes all waiting tasks after acknowledgement or a holder change."""
        self.changed.set()
        self.ready.set()

    def reopen(self, versions: ModelVersions, bound: int) -> None:
        """Starts the next generation with the samples that are not stale."""
        self.collector.drop_stale_samples(versions, bound)
        self.manifest = None
        self.digest = ""
        self.ready.clear()
        self.changed.set()

    def with_sealed_score(self, sample: Sample) -> Sample | None:
        """Returns the sample with its score in the manifest.

        Returns:
          None if the manifest does not contain the sample.
        """
        entry = self._entry_by_slot.get(sample.sample_id.slot)
        if entry is None or entry.sample_id != sample.sample_id:
            return None
        if entry.digest != sample.digest:
            return None
        return sample._replace(score=entry.score)


class Handover:
    """Collects the steps of one job and hands them to the trainer.

    Attributes:
      versions: Weight versions; replaced when engines report new ones.
      steps_by_number: Steps whose prompts this holder has received.
    """

    def __init__(
        self, job: RolloutJob, ledger: JobLedger, versions: ModelVersions
    ):
        self.versions = versions
        self.steps_by_number: dict[int, OpenStep] = {}
        self._job = job
        self._ledger = ledger
        self._attempt_numbers = itertools.count(first_attempt_number(0))

    async def take_over(self, epoch: int) -> Failure | None:
        """Makes this process the holder of the job; drops its open steps.

        Errors:
          NOT_JOB_HOLDER, STORE_UNAVAILABLE: Not taken over; try again.
        """
        failure = await self._ledger.take_over()
        if failure is not None:
            return failure
        self.drop_steps()
        self._attempt_numbers = itertools.count(first_attempt_number(epoch))
        self.record_versions(())
        return None

    def drop_steps(self) -> None:
        """Drops the steps at this process; another holder continues them."""
        for step in self.steps_by_number.values():
            step.close()
        self.steps_by_number = {}

    def record_versions(self, names: tuple[str, ...]) -> None:
        """Records the weight versions that engines report."""
        recorded = self._ledger.state.newest_version
        self.versions = self.versions.with_reported_versions(names)
        newest = max(recorded, self.versions.newest)
        self.versions = self.versions._replace(newest=newest)
        if newest > recorded:
            self._ledger.record_newest_version(newest)

    async def open(
        self, number: int, prompts: tuple[str, ...]
    ) -> Failure | None:
        """Opens a step; opening it again with the same prompts has no effect.

        Errors:
          BAD_REQUEST: The number of prompts is not the job's group count.
          STEP_ACKNOWLEDGED, STEP_CONFLICT, STEP_OUT_OF_ORDER: See
            `JobLedger.open_step`.
          STORE_UNAVAILABLE: The manifest of a sealed step can't be read.
        """
        if len(prompts) != self._job.groups_per_step:
            return Failure(
                ResultCode.BAD_REQUEST,
                f"The step needs {self._job.groups_per_step} prompts, one per "
                "group.",
            )
        failure = self._ledger.open_step(number, _digest_prompts(prompts))
        if failure is not None or number in self.steps_by_number:
            return failure
        step = OpenStep(self._job.name, number, prompts, self._job.group_size)
        if self._ledger.state.steps[number].manifest_digest:
            manifest = await self._ledger.read_manifest(number)
            if isinstance(manifest, Failure):
                return manifest
            step.seal(manifest)
        # Another call may have opened the step during the read.
        self.steps_by_number.setdefault(number, step)
        return None

    def next_sample_id(self, slot: SampleSlot) -> SampleId:
        """Returns a new sample id for a slot of an open step."""
        generation = self._ledger.state.steps[slot.step].generation
        return SampleId(slot, generation, next(self._attempt_numbers))

    def receive_sample(self, sample: Sample) -> Failure | None:
        """Adds a finished sample, either new or retained by a sidecar.

        Errors:
          STEP_UNKNOWN: The step is not open at this process.
          STEP_CONFLICT: The slot has a sample already, or the manifest of the
            sealed step lists another one.
          VERSION_UNKNOWN, SAMPLE_STALE: The sample may not be delivered.
        """
        number = sample.sample_id.slot.step
        step = self.steps_by_number.get(number)
        if step is None:
            return Failure(
                ResultCode.STEP_UNKNOWN, f"Step {number} is not open."
            )
        if step.manifest is not None:
            found = step.with_sealed_score(sample)
            if found is None:
                return Failure(
                    ResultCode.STEP_CONFLICT,
                    "The sample is not in the manifest of the step.",
                )
            sample = found
        failure = self.versions.check(sample.spans, self._job.staleness_bound)
        if failure is not None and step.manifest is None:
            return failure
        if not step.collector.add(sample):
            return Failure(
                ResultCode.STEP_CONFLICT, "The slot has a sample already."
            )
        if step.collector.is_full:
            step.notify_change()
        self._ledger.record_finished_samples(
            number, len(step.collector.samples_by_slot)
        )
        return None

    async def seal(self, number: int) -> Failure | None:
        """Seals a step whose slots are all filled.

        Errors:
          STEP_UNKNOWN: The step is not open at this process.
          STEP_INCOMPLETE: Samples are missing or have become stale.
          NOT_JOB_HOLDER: Another holder has written the ledger.
          STORE_UNAVAILABLE: The step may or may not be sealed; try again.
        """
        step = self.steps_by_number.get(number)
        if step is None:
            return Failure(
                ResultCode.STEP_UNKNOWN, f"Step {number} is not open."
            )
        if step.manifest is not None:
            return None
        step.collector.drop_stale_samples(
            self.versions, self._job.staleness_bound
        )
        if not step.collector.is_full:
            return Failure(
                ResultCode.STEP_INCOMPLETE, "Samples of the step are missing."
            )
        sealed = await self._ledger.seal(
            Manifest.from_samples(
                self._job.name, number, 1, step.collector.samples()
            )
        )
        if isinstance(sealed, Failure):
            return sealed
        step.seal(sealed)
        return None

    async def fetch(self, number: int) -> StepBody | Failure:
        """Returns a sealed step without stale samples.

        Errors:
          STEP_UNKNOWN: The trainer has to post the prompts, possibly again.
          STEP_INCOMPLETE: Samples are missing, or the step is not sealed.
          STEP_ACKNOWLEDGED: The step has been acknowledged.
          NOT_JOB_HOLDER, STORE_UNAVAILABLE: The step has stale samples and
            could not be reopened.
        """
        if number < self._ledger.state.next_step:
            return Failure(
                ResultCode.STEP_ACKNOWLEDGED,
                f"Step {number} has been acknowledged.",
            )
        step = self.steps_by_number.get(number)
        if step is None:
            return Failure(
                ResultCode.STEP_UNKNOWN,
                f"Step {number} is not open; post its prompts.",
            )
        if step.manifest is not None and self._has_stale_samples(step.manifest):
            failure = await self.reopen(number)
            if failure is not None:
                return failure
        if not step.is_ready:
            collected = len(step.collector.samples_by_slot)
            return Failure(
                ResultCode.STEP_INCOMPLETE,
                "The step is not complete and sealed yet; it has "
                f"{collected} samples.",
            )
        return _encode_step(step)

    async def acknowledge(self, number: int, digest: str) -> Failure | None:
        """Records that the trainer has accepted a step.

        A repeated acknowledgement with the same digest succeeds.

        Errors:
          Those of `JobLedger.acknowledge`. STEP_RESEALED is also returned if a
          sample has become stale since the fetch.
        """
        state = self._ledger.state.steps.get(number)
        if (
            state is not None
            and state.manifest_digest
            and state.manifest_digest == digest
        ):
            manifest = await self._manifest(number)
            if isinstance(manifest, Failure):
                return manifest
            if self._has_stale_samples(manifest):
                failure = await self.reopen(number)
                if failure is not None:
                    return failure
        failure = await self._ledger.acknowledge(number, digest)
        if failure is None and number in self.steps_by_number:
            self.steps_by_number.pop(number).close()
        return failure

    async def reopen(self, number: int) -> Failure | None:
        """Opens the next generation of a sealed step.

        Samples that are not stale are kept. A step that is not sealed is left
        unchanged.

        Errors:
          NOT_JOB_HOLDER: Another holder has written the ledger.
          STORE_UNAVAILABLE: The step may or may not be reopened; try again.
        """
        state = self._ledger.state.steps.get(number)
        if state is None or not state.manifest_digest:
            return None
        failure = await self._ledger.reopen(number, state.manifest_digest)
        step = self.steps_by_number.get(number)
        # Another call may have reopened and resealed the step meanwhile.
        if (
            failure is None
            and step is not None
            and step.digest == state.manifest_digest
        ):
            step.reopen(self.versions, self._job.staleness_bound)
        return failure

    async def _manifest(self, number: int) -> Manifest | Failure:
        step = self.steps_by_number.get(number)
        if step is not None and step.manifest is not None:
            return step.manifest
        return await self._ledger.read_manifest(number)

    def _has_stale_samples(self, manifest: Manifest) -> bool:
        bound = self._job.staleness_bound
        return any(
            self.versions.check(entry.spans, bound) is not None
            for entry in manifest.entries
        )


def _encode_step(step: OpenStep) -> StepBody:
    manifest = step.manifest
    content = {
        "job": manifest.job,
        "step": manifest.step,
        "generation": manifest.generation,
        "samples": [s.to_json() for s in step.collector.samples()],
    }
    return StepBody(step.digest, orjson.dumps(content))


def _digest_prompts(prompts: tuple[str, ...]) -> str:
    return hashlib.blake2b(
        orjson.dumps(prompts), digest_size=_DIGEST_BYTES
    ).hexdigest()

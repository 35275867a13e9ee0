"""Runs the steps of rollout jobs, independent of the HTTP server."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

import orjson
from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry.gateway import CallerRequest, Gateway, OpenAnswer
from shallotstand.entry.scorer import Scorer
from shallotstand.entry.sidecars import Fleet
from shallotstand.link.messages import RetainedSample, SampleOffer, Span
from shallotstand.objects.types import Catalog, RolloutJob
from shallotstand.platform.protocols import ObjectStore
from shallotstand.rollout.handover import Handover, OpenStep, StepBody
from shallotstand.rollout.lease import JobLease
from shallotstand.rollout.ledger import JobLedger
from shallotstand.rollout.samples import Sample, VersionSpan
from shallotstand.rollout.slots import SampleId, SampleSlot
from shallotstand.rollout.staleness import ModelVersions

# Time for reconnecting sidecars to offer their samples to a restarted entry.
RETAINED_SAMPLES_WAIT_S = 5.0
# Maximum number of requests of a job that wait for admission or run.
MAX_IN_FLIGHT = 512
_STORE_RETRY_S = 1.0
_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 5.0
_STRAGGLER_CHECK_S = 1.0
_COMPLETIONS_PATH = "/v1/completions"


class JobService:
    """Runs one rollout job while this entry holds the job's lease.

    Attributes:
      job: Definition of the job.
      lease: Lease that shows whether this entry holds the job.
    """

    def __init__(
        self,
        job: RolloutJob,
        store: ObjectStore,
        lease: JobLease,
        gateway: Gateway,
        fleet: Fleet,
        clock: Clock,
    ):
        self.job = job
        self.lease = lease
        self._gateway = gateway
        self._fleet = fleet
        self._clock = clock
        self._scorer = Scorer(job, gateway)
        self._ledger = JobLedger(store, job.name, lease)
        self._handover = Handover(job, self._ledger, ModelVersions({}))
        self._held_epoch = 0
        self._held_since = 0.0
        self._request_slots = asyncio.Semaphore(MAX_IN_FLIGHT)
        self._takeover_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task] = set()
        self._rng = random.Random()

    async def run(self) -> None:
        """Takes over the job after each acquired lease, until cancelled."""
        flushing = asyncio.create_task(self._ledger.flush_periodically())
        try:
            while True:
                failure = await self._ensure_holder()
                if failure is None:
                    await asyncio.sleep(self.lease.time_left_s)
                elif failure.code == ResultCode.NOT_JOB_HOLDER:
                    await self.lease.wait_until_held()
                else:
                    await asyncio.sleep(_STORE_RETRY_S)
        finally:
            for task in (flushing, *self._tasks):
                task.cancel()

    async def post(
        self, number: int, groups: list[dict[str, Any]]
    ) -> Failure | None:
        """Opens a step and starts to generate its samples; may be repeated.

        Args:
          number: Number of the step.
          groups: Fields of each group's completion request, with `prompt`.

        Errors:
          NOT_JOB_HOLDER: Another entry holds the job.
          Those of `Handover.open`.
        """
        failure = await self._ensure_holder()
        if failure is not None:
            return failure
        prompts = tuple(
            orjson.dumps(group, option=orjson.OPT_SORT_KEYS).decode()
            for group in groups
        )
        before = self._handover.steps_by_number.get(number)
        failure = await self._handover.open(number, prompts)
        if failure is not None:
            return failure
        step = self._handover.steps_by_number[number]
        if step is not before:
            self._fleet.request_samples(self.job.name)
            self._start_task(self._run_step(number, step))
        return None

    async def fetch(self, number: int, wait_s: float) -> StepBody | Failure:
        """Returns a step, waiting up to `wait_s` seconds until it is sealed.

        Errors:
          NOT_JOB_HOLDER: Another entry holds the job.
          Those of `Handover.fetch`.
        """
        failure = await self._ensure_holder()
        if failure is not None:
            return failure
        step = self._handover.steps_by_number.get(number)
        if step is not None and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await step.ready.wait()
            except TimeoutError:
                pass  # the handover returns STEP_INCOMPLETE
            failure = await self._ensure_holder()
            if failure is not None:
                return failure
        return await self._handover.fetch(number)

    async def acknowledge(self, number: int, digest: str) -> Failure | None:
        """Records that the trainer has accepted a step.

        Errors:
          NOT_JOB_HOLDER: Another entry holds the job.
          Those of `Handover.acknowledge`.
        """
        failure = await self._ensure_holder()
        if failure is not None:
            return failure
        failure = await self._handover.acknowledge(number, digest)
        if failure is None:
            self._fleet.release_samples(self.job.name, number)
        return failure

    def receive_retained_sample(
        self, retained: RetainedSample, sample_id: SampleId
    ) -> None:
        """Adds a sample that a sidecar retained to its step."""
        step = self._handover.steps_by_number.get(sample_id.slot.step)
        if step is None or sample_id.slot in step.collector.samples_by_slot:
            return
        sample = _parse_sample(
            sample_id,
            retained.data,
            retained.spans,
            retained.prompt_tokens,
            retained.completion_tokens,
        )
        if isinstance(sample, Failure):
            return
        # The manifest of a sealed step has the scores.
        if step.manifest is not None:
            self._handover.receive_sample(sample)
        else:
            self._start_task(self._score_and_add(step, sample))

    async def _ensure_holder(self) -> Failure | None:
        """Takes over the job if this entry has newly acquired the lease.

        Errors:
          NOT_JOB_HOLDER: The reason is the address of the job's holder.
          Those of `Handover.take_over`.
        """
        async with self._takeover_lock:
            if not self.lease.is_held:
                self._held_epoch = 0
                self._handover.drop_steps()
                return Failure(
                    ResultCode.NOT_JOB_HOLDER, self.lease.holder_address
                )
            epoch = self.lease.epoch
            if self._held_epoch != epoch:
                failure = await self._handover.take_over(epoch)
                if failure is not None:
                    return failure
                self._held_epoch = epoch
                self._held_since = self._clock.monotonic()
                logs.event(
                    logging.INFO, "Job held", job=self.job.name, epoch=epoch
                )
            self._update_versions()
            return None

    def _update_versions(self) -> None:
        catalog = self._gateway.catalog
        service = catalog.services_by_name.get(self.job.service)
        model = service.model if service else ""
        self._handover.versions = ModelVersions.from_config(
            catalog, model, self._handover.versions.newest
        )
        self._handover.record_versions(
            tuple(
                endpoint.report.version
                for endpoint in self._fleet.endpoints(self.job.service).values()
            )
        )

    def _is_open(self, number: int, step: OpenStep) -> bool:
        return self._handover.steps_by_number.get(number) is step

    async def _run_step(self, number: int, step: OpenStep) -> None:
        """Fills and seals a step until the step is closed or replaced."""
        tasks: dict[SampleSlot, asyncio.Task] = {}
        await self._wait_for_retained_samples(step)
        try:
            while self._is_open(number, step):
                step.changed.clear()
                wait_s: float | None = None
                if step.is_ready:
                    pass
                elif step.manifest is not None:
                    # The time for sidecars to offer its samples has passed.
                    await self._handover.reopen(number)
                    wait_s = _STORE_RETRY_S
                elif step.collector.is_full:
                    self._update_versions()
                    if await self._handover.seal(number) is not None:
                        wait_s = _STORE_RETRY_S
                else:
                    self._start_missing_samples(step, tasks)
                    wait_s = _STRAGGLER_CHECK_S
                await _wait_for(step.changed, wait_s)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _wait_for_retained_samples(self, step: OpenStep) -> None:
        """Gives sidecars time to offer samples kept for an earlier holder."""
        if self._held_epoch <= 1:
            return
        waited_s = self._clock.monotonic() - self._held_since
        remaining_s = max(0.0, RETAINED_SAMPLES_WAIT_S - waited_s)
        if step.manifest is not None:
            remaining_s = RETAINED_SAMPLES_WAIT_S
        await _wait_for(step.ready, remaining_s)

    def _start_missing_samples(
        self, step: OpenStep, tasks: dict[SampleSlot, asyncio.Task]
    ) -> None:
        """Starts missing samples, and second attempts for stragglers."""
        now = self._clock.monotonic()
        missing = step.collector.missing_slots()
        for slot in [s for s in tasks if tasks[s].done()]:
            del tasks[slot]
        for slot in missing:
            if slot not in tasks:
                tasks[slot] = self._start_task(self._fill_slot(step, slot))
        for slot in step.collector.stragglers(now, self._idle_engine_slots()):
            self._start_task(self._attempt(step, slot))

    def _idle_engine_slots(self) -> int:
        return sum(
            max(0, e.report.slots - e.report.running - e.report.queued)
            for e in self._fleet.endpoints(self.job.service).values()
        )

    async def _fill_slot(self, step: OpenStep, slot: SampleSlot) -> None:
        """Repeats attempts until the slot has a sample."""
        for attempt in itertools.count():
            async with self._request_slots:
                if self._is_filled(step, slot):
                    return
                failure = await self._attempt(step, slot)
            if failure is None or self._is_filled(step, slot):
                return
            delay = min(_RETRY_MAX_S, _RETRY_MIN_S * 2 ** min(attempt, 8))
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))

    def _is_filled(self, step: OpenStep, slot: SampleSlot) -> bool:
        return (
            not self._is_open(slot.step, step)
            or slot in step.collector.samples_by_slot
        )

    async def _attempt(
        self, step: OpenStep, slot: SampleSlot
    ) -> Failure | None:
        """Generates one sample, scores it and adds it to the step."""
        if self._is_filled(step, slot):
            return None
        self._update_versions()
        sample_id = self._handover.next_sample_id(slot)
        collector = step.collector
        collector.record_attempt_start(sample_id, self._clock.monotonic())
        sample: Sample | Failure | None = None
        try:
            sample = await self._generate(step, sample_id)
        finally:
            succeeded = isinstance(sample, Sample)
            collector.record_attempt_end(
                sample_id, self._clock.monotonic(), succeeded
            )
        if isinstance(sample, Failure):
            return sample
        return await self._score_and_add(step, sample)

    async def _generate(
        self, step: OpenStep, sample_id: SampleId
    ) -> Sample | Failure:
        service = self._gateway.catalog.services_by_name.get(self.job.service)
        if service is None:
            return Failure(ResultCode.ROUTE_UNKNOWN, self.job.service)
        fields = orjson.loads(step.prompts[sample_id.slot.group])
        body = fields | {"model": service.name, "stream": False}
        answer = await self._gateway.serve(
            CallerRequest(
                _COMPLETIONS_PATH,
                "",
                orjson.dumps(body),
                "rollout",
                sample_id.to_text(),
                self.job.account,
                self._stale_endpoints(),
                retain=True,
            )
        )
        if isinstance(answer, Failure):
            return answer
        try:
            return _to_sample(sample_id, answer)
        finally:
            answer.close()

    def _stale_endpoints(self) -> frozenset[str]:
        """Returns the endpoints whose samples would already be too stale."""
        versions, bound = self._handover.versions, self.job.staleness_bound
        return frozenset(
            name
            for name, endpoint in self._fleet.endpoints(
                self.job.service
            ).items()
            if not versions.may_start(endpoint.report.version, bound)
        )

    async def _score_and_add(
        self, step: OpenStep, sample: Sample
    ) -> Failure | None:
        """Adds a sample once the scorer has answered; retries only scoring."""
        slot = sample.sample_id.slot
        delay = _RETRY_MIN_S
        while self.job.scorer and not self._is_filled(step, slot):
            prompt = orjson.loads(step.prompts[slot.group])["prompt"]
            score = await self._scorer.score(prompt, sample.text)
            if not isinstance(score, Failure):
                sample = sample._replace(score=score)
                break
            logs.event(logging.WARNING, "Scoring failed", reason=score.reason)
            await asyncio.sleep(delay)
            delay = min(2 * delay, _RETRY_MAX_S)
        if self._is_filled(step, slot):
            return None
        self._update_versions()
        failure = self._handover.receive_sample(sample)
        if failure is not None:
            step.changed.set()
        return failure

    def _start_task(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class LeaseRenewer(Protocol):
    """Renews a lease."""

    async def renew_periodically(self) -> None:
        """Renews or acquires the lease periodically, until cancelled."""
        ...


class RolloutService:
    """Runs all rollout jobs of the configuration.

    Attributes:
      jobs_by_name: The JobService of each job, by the job's name.
    """

    def __init__(self) -> None:
        self.jobs_by_name: dict[str, JobService] = {}
        self._tasks_by_name: dict[str, list[asyncio.Task]] = {}

    def adopt(
        self,
        catalog: Catalog,
        make_job: Callable[[RolloutJob], tuple[JobService, LeaseRenewer]],
    ) -> None:
        """Runs the jobs of a configuration and restarts changed jobs.

        Args:
          catalog: The configuration.
          make_job: Creates a job's service and the renewer of its lease.
        """
        wanted = catalog.jobs_by_name
        for name, service in list(self.jobs_by_name.items()):
            if wanted.get(name) != service.job:
                self._end(name)
        for name in wanted.keys() - self.jobs_by_name.keys():
            service, lease = make_job(wanted[name])
            self.jobs_by_name[name] = service
            self._tasks_by_name[name] = [
                asyncio.create_task(service.run()),
                asyncio.create_task(lease.renew_periodically()),
            ]

    def close(self) -> None:
        """Ends all jobs on this entry and lets their leases expire."""
        for name in list(self.jobs_by_name):
            self._end(name)

    def _end(self, name: str) -> None:
        del self.jobs_by_name[name]
        for task in self._tasks_by_name.pop(name):
            task.cancel()

    def find(self, job: str, account: str) -> JobService | Failure:
        """Returns the service of a job that belongs to a client account.

        Errors:
          JOB_UNKNOWN: There is no such job.
          NOT_ALLOWED: The job belongs to another client account.
        """
        service = self.jobs_by_name.get(job)
        if service is None:
            return Failure(ResultCode.JOB_UNKNOWN, f"No job is named {job!r}.")
        if service.job.account != account:
            return Failure(ResultCode.NOT_ALLOWED, "Owned by another account.")
        return service

    def receive_offer(self, offer: SampleOffer) -> None:
        """Passes retained samples to the jobs that this entry holds."""
        for sample in offer.samples:
            sample_id = SampleId.from_text(sample.request_id)
            if isinstance(sample_id, Failure):
                continue
            service = self.jobs_by_name.get(sample_id.slot.job)
            if service is not None and service.lease.is_held:
                service.receive_retained_sample(sample, sample_id)


async def _wait_for(event: asyncio.Event, timeout_s: float | None) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


def _to_sample(sample_id: SampleId, answer: OpenAnswer) -> Sample | Failure:
    last = answer.stream.last
    if last is None or not last.spans:
        return Failure(ResultCode.VERSION_UNKNOWN, "Weight version missing.")
    return _parse_sample(
        sample_id,
        last.data,
        last.spans,
        last.prompt_tokens,
        last.completion_tokens,
    )


def _parse_sample(
    sample_id: SampleId,
    data: bytes,
    spans: Iterable[Span],
    prompt_tokens: int,
    completion_tokens: int,
) -> Sample | Failure:
    try:
        text = orjson.loads(data)["choices"][0]["text"]
    except (ValueError, KeyError, IndexError, TypeError):
        return Failure(ResultCode.ENDPOINT_BAD_ANSWER, "Malformed completion.")
    return Sample(
        sample_id,
        text,
        tuple(VersionSpan(*span) for span in spans),
        prompt_tokens,
        completion_tokens,
    )

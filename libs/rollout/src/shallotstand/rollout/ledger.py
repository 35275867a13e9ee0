"""Durable state of a job: the ledger object and the step manifests."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    create_once,
    update_object,
)
from shallotstand.platform.protocols import ObjectStore
from shallotstand.rollout.lease import JobLease
from shallotstand.rollout.manifest import Manifest, manifest_key

BATCH_INTERVAL_S = 2.0
# A restarted trainer repeats the acknowledgement of its last step, or of a few
# more if it restarts from an older checkpoint.
KEPT_ACKNOWLEDGEMENTS = 16
# Limits the memory at the holder; an open step takes about 51 MB.
MAX_OPEN_STEPS = 4


class StepState(NamedTuple):
    """A step that is not acknowledged.

    Attributes:
      generation: Generation that is open or sealed, from 1.
      prompts_digest: Digest of the prompts, to detect that a step is opened
        again with other prompts.
      manifest_digest: Digest of the manifest; empty while the step is open.
      finished: Samples collected at the last write, for operators.
    """

    generation: int
    prompts_digest: str
    manifest_digest: str = ""
    finished: int = 0


class AcknowledgedStep(NamedTuple):
    """A step that the trainer has acknowledged."""

    generation: int
    digest: str


class LedgerState(NamedTuple):
    """Content of the ledger object.

    Attributes:
      epoch: Epoch of the holder that wrote the ledger.
      next_step: First step that is not acknowledged.
      newest_version: Highest weight version number seen in force.
      steps: Open and sealed steps, by number.
      acknowledged: Most recently acknowledged steps, by number.
    """

    epoch: int = 0
    next_step: int = 0
    newest_version: int = 0
    steps: dict[int, StepState] = {}
    acknowledged: dict[int, AcknowledgedStep] = {}

    def with_step(self, number: int, step: StepState) -> "LedgerState":
        """Returns the state with a step added or replaced."""
        return self._replace(steps={**self.steps, number: step})

    def with_acknowledged(self, number: int) -> "LedgerState":
        """Returns the state with a step acknowledged."""
        steps = dict(self.steps)
        taken = steps.pop(number)
        kept = self.acknowledged | {
            number: AcknowledgedStep(taken.generation, taken.manifest_digest)
        }
        for old in sorted(kept)[:-KEPT_ACKNOWLEDGEMENTS]:
            del kept[old]
        return self._replace(
            next_step=number + 1, steps=steps, acknowledged=kept
        )

    def to_value(self) -> dict[str, Any]:
        """Encodes the state as the value of the ledger object."""
        return self._asdict() | {
            "steps": {str(n): list(s) for n, s in self.steps.items()},
            "acknowledged": {
                str(n): list(a) for n, a in self.acknowledged.items()
            },
        }

    @classmethod
    def from_value(cls, value: dict[str, Any] | None) -> "LedgerState":
        """Decodes the ledger object; None stands for a missing object."""
        if value is None:
            return cls()
        return cls(
            epoch=value["epoch"],
            next_step=value["next_step"],
            newest_version=value["newest_version"],
            steps={int(n): StepState(*s) for n, s in value["steps"].items()},
            acknowledged={
                int(n): AcknowledgedStep(*a)
                for n, a in value["acknowledged"].items()
            },
        )


_Change = Callable[[LedgerState], LedgerState | Failure]


class JobLedger:
    """Reads and writes the ledger of one job as its holder.

    Each change is applied to the value that was just read, and a change that
    is already in effect writes nothing. It is therefore safe to repeat a change
    whose answer was lost, even if the first write takes effect late.

    Attributes:
      state: State as last read or written, with the pending changes applied.
    """

    def __init__(
        self,
        store: ObjectStore,
        job: str,
        lease: JobLease,
        backoff: Backoff = DEFAULT_BACKOFF,
    ):
        self._backoff = backoff
        self.state = LedgerState()
        self._store = store
        self._job = job
        self._key = f"ledger/{job}"
        self._lease = lease
        self._epoch = 0
        self._stored = LedgerState()
        self._pending_steps: dict[int, StepState] = {}
        self._pending_finished: dict[int, int] = {}
        self._pending_newest = 0
        self._lock = asyncio.Lock()
        self._dirty = asyncio.Event()

    async def take_over(self) -> Failure | None:
        """Reads the ledger and writes this holder's epoch to it.

        Errors:
          NOT_JOB_HOLDER: A holder with a higher epoch has written the ledger.
          STORE_UNAVAILABLE: The store did not answer; try again.
        """
        async with self._lock:
            self._epoch = self._lease.epoch
            self._pending_steps, self._pending_finished = {}, {}
            return await self._write(
                lambda state: state._replace(epoch=self._epoch),
                lambda epoch: epoch <= self._epoch,
            )

    def open_step(self, number: int, prompts_digest: str) -> Failure | None:
        """Opens a step; the ledger is written with the next flush.

        Errors:
          STEP_ACKNOWLEDGED: The step has been acknowledged.
          STEP_CONFLICT: The step was opened with other prompts.
          STEP_OUT_OF_ORDER: Too many earlier steps are not acknowledged.
        """
        if number < self.state.next_step:
            return Failure(
                ResultCode.STEP_ACKNOWLEDGED,
                f"Step {number} has been acknowledged.",
            )
        if number >= self.state.next_step + MAX_OPEN_STEPS:
            return Failure(
                ResultCode.STEP_OUT_OF_ORDER,
                f"Step {self.state.next_step} has to be acknowledged first.",
            )
        opened = self.state.steps.get(number)
        if opened is None:
            self._pending_steps[number] = StepState(1, prompts_digest)
            self._apply_pending()
        elif opened.prompts_digest != prompts_digest:
            return Failure(
                ResultCode.STEP_CONFLICT,
                f"Step {number} was opened with other prompts.",
            )
        return None

    def record_finished_samples(self, number: int, finished: int) -> None:
        """Records a step's number of collected samples for the next flush."""
        self._pending_finished[number] = finished
        self._apply_pending()

    def record_newest_version(self, newest: int) -> None:
        """Records the newest version in force for the next flush."""
        self._pending_newest = max(self._pending_newest, newest)
        self._apply_pending()

    async def seal(self, manifest: Manifest) -> Manifest | Failure:
        """Writes a manifest, then the ledger that refers to it.

        Args:
          manifest: Samples of the step. If manifests of its generation or of
            later ones were written but never recorded in the ledger, the
            generation after them is used.

        Returns:
          The manifest in the ledger. It differs from the given one if an
          earlier write of unknown outcome turns out to have succeeded.

        Errors:
          STEP_UNKNOWN: The ledger has no such step.
          NOT_JOB_HOLDER: Another holder has written the ledger.
          STORE_UNAVAILABLE: The step may or may not be sealed; try again.
        """
        number = manifest.step
        step = self.state.steps.get(number)
        if step is None:
            return Failure(
                ResultCode.STEP_UNKNOWN, f"Step {number} is not open."
            )
        created = await self._create_manifest(
            manifest._replace(generation=step.generation)
        )
        if isinstance(created, Failure):
            return created
        sealed = step._replace(
            generation=created.generation,
            manifest_digest=created.digest,
            finished=len(created.entries),
        )

        def change(state: LedgerState) -> LedgerState | Failure:
            current = state.steps.get(number)
            if current is None:
                return Failure(
                    ResultCode.STEP_UNKNOWN, f"Step {number} is not open."
                )
            return (
                state
                if current.manifest_digest
                else state.with_step(number, sealed)
            )

        failure = await self._update(change)
        if failure is not None:
            return failure
        if self.state.steps[number].manifest_digest == sealed.manifest_digest:
            return created
        return await self.read_manifest(number)

    async def _create_manifest(self, manifest: Manifest) -> Manifest | Failure:
        """Creates the manifest under the first unused generation."""
        for generation in itertools.count(manifest.generation):
            manifest = manifest._replace(generation=generation)
            key = manifest_key(self._job, manifest.step, generation)
            result = await create_once(
                self._store, key, manifest.to_bytes(), self._backoff
            )
            if not isinstance(result, Failure):
                return manifest
            if result.code != ResultCode.VERSION_CONFLICT:
                break
        return _as_retryable(result)

    async def acknowledge(self, number: int, digest: str) -> Failure | None:
        """Records that the trainer accepts a sealed step: the commit point.

        Errors:
          STEP_RESEALED: The digest is not that of the current generation.
          STEP_ACKNOWLEDGED: The step was acknowledged with another digest or
            too long ago.
          STEP_OUT_OF_ORDER: An earlier step is not acknowledged.
          STEP_UNKNOWN: The step is not open.
          STEP_INCOMPLETE: The step has never been sealed.
          NOT_JOB_HOLDER: Another holder has written the ledger.
          STORE_UNAVAILABLE: The step may or may not be acknowledged; try
            again.
        """
        return await self._update(
            lambda state: _acknowledge(state, number, digest)
        )

    async def reopen(self, number: int, digest: str) -> Failure | None:
        """Opens the next generation of a sealed step.

        A step that is no longer sealed with the digest is left unchanged.

        Errors:
          NOT_JOB_HOLDER: Another holder has written the ledger.
          STORE_UNAVAILABLE: The step may or may not be reopened; try again.
        """

        def change(state: LedgerState) -> LedgerState:
            step = state.steps.get(number)
            if step is None or step.manifest_digest != digest:
                return state
            opened = StepState(step.generation + 1, step.prompts_digest)
            return state.with_step(number, opened)

        self._pending_finished.pop(number, None)
        return await self._update(change)

    async def flush(self) -> Failure | None:
        """Writes the pending changes, if there are any."""
        if self.state == self._stored:
            return None
        return await self._update(lambda state: state)

    async def flush_periodically(self) -> None:
        """Writes pending changes every BATCH_INTERVAL_S until cancelled."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            await asyncio.sleep(BATCH_INTERVAL_S)
            if await self.flush() is not None:
                self._dirty.set()

    async def read_manifest(self, number: int) -> Manifest | Failure:
        """Reads the manifest of a sealed step."""
        step = self.state.steps[number]
        stored = await self._store.get(
            manifest_key(self._job, number, step.generation)
        )
        if isinstance(stored, Failure):
            return stored
        return Manifest.from_bytes(stored.value)

    def _apply_pending(self) -> None:
        self.state = self._with_pending(self._stored)
        if self.state != self._stored:
            self._dirty.set()

    def _with_pending(self, state: LedgerState) -> LedgerState:
        """Returns the state with the pending changes applied.

        Changes that are in the state already have no effect.
        """
        for number, step in self._pending_steps.items():
            if number >= state.next_step and number not in state.steps:
                state = state.with_step(number, step)
        for number, finished in self._pending_finished.items():
            step = state.steps.get(number)
            if step is not None and not step.manifest_digest:
                state = state.with_step(
                    number, step._replace(finished=finished)
                )
        newest = max(self._pending_newest, state.newest_version)
        return state._replace(newest_version=newest)

    async def _update(self, change: _Change) -> Failure | None:
        async with self._lock:
            # The epoch is compared, too: after a lapse this process may hold
            # the lease again without having read the ledger since.
            if not self._lease.is_held or self._lease.epoch != self._epoch:
                return Failure(
                    ResultCode.NOT_JOB_HOLDER,
                    "The lease of the job has lapsed.",
                )
            return await self._write(change, lambda e: e == self._epoch)

    async def _write(
        self, change: _Change, may_write: Callable[[int], bool]
    ) -> Failure | None:
        after = self._stored

        def apply(value: dict[str, Any] | None) -> Any:
            nonlocal after
            before = LedgerState.from_value(value)
            if not may_write(before.epoch):
                return Failure(ResultCode.NOT_JOB_HOLDER, "Superseded.")
            changed = change(self._with_pending(before))
            if isinstance(changed, Failure):
                return changed
            after = changed
            return None if after == before else after.to_value()

        written = await update_object(
            self._store,
            self._key,
            apply,
            retry_conflicts=True,
            backoff=self._backoff,
        )
        if isinstance(written, Failure):
            return _as_retryable(written)
        self._stored = after
        for pending in (self._pending_steps, self._pending_finished):
            for number in [n for n in pending if n < after.next_step]:
                del pending[number]
        self.state = self._with_pending(after)
        return None


def _as_retryable(failure: Failure) -> Failure:
    """Converts unknown outcomes and conflicts into a retryable failure."""
    if failure.code in (
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.VERSION_CONFLICT,
    ):
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            "The write was not confirmed; try again.",
        )
    return failure


def _acknowledge(
    state: LedgerState, number: int, digest: str
) -> LedgerState | Failure:
    if number < state.next_step:
        acknowledged = state.acknowledged.get(number)
        if acknowledged is not None and acknowledged.digest == digest:
            return state
        return Failure(
            ResultCode.STEP_ACKNOWLEDGED,
            f"Step {number} was acknowledged with another digest or too long "
            "ago.",
        )
    step = state.steps.get(number)
    if step is None:
        return Failure(ResultCode.STEP_UNKNOWN, f"Step {number} is not open.")
    if step.manifest_digest != digest:
        if not step.manifest_digest and step.generation == 1:
            return Failure(
                ResultCode.STEP_INCOMPLETE, "The step is not sealed."
            )
        return Failure(
            ResultCode.STEP_RESEALED,
            f"Generation {step.generation} of the step is the current one.",
        )
    if number != state.next_step:
        return Failure(
            ResultCode.STEP_OUT_OF_ORDER,
            f"Step {state.next_step} has to be acknowledged first.",
        )
    return state.with_acknowledged(number)

"""Measures the store calls of rollout jobs' ledgers on a simulated clock.

Run: .venv/bin/python -m measure.ledger_cost
"""

import asyncio

from shallotstand.objects.types import RolloutJob
from shallotstand.rollout.handover import Handover
from shallotstand.rollout.ledger import BATCH_INTERVAL_S, JobLedger
from shallotstand.rollout.samples import Sample, VersionSpan
from shallotstand.rollout.staleness import ModelVersions
from shallotstand.standins.object_store import StandinObjectStore

TRAINERS = 12
GROUPS = 256
GROUP_SIZE = 8
STEP_S = 180.0
STEPS = 3
# Two weight versions in each sample, as with new weights every 3 min.
SPANS = (VersionSpan("version-0001", 900), VersionSpan("version-0002", 400))


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all is idle."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


class Lease:
    """A lease that is always held."""

    epoch = 1
    is_held = True
    time_left_s = 7.0
    holder_address = ""

    async def wait_until_held(self) -> None:
        """Returns at once."""


class CountingStore(StandinObjectStore):
    """Counts the bytes that are written, by kind of object."""

    def __init__(self) -> None:
        super().__init__()
        self.writes_by_kind: dict[str, list[int]] = {}

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> object:
        """Counts and writes."""
        kind = key.partition("/")[0]
        self.writes_by_kind.setdefault(kind, []).append(len(value))
        return await super().put(key, value, expected_version)


async def train(store: CountingStore, name: str, start_s: float) -> None:
    """Runs one trainer's steps, with samples spread over each step."""
    job = RolloutJob(
        name, "acct", "drafts", GROUP_SIZE, GROUPS, 4, "", "", 540.0
    )
    ledger = JobLedger(store, name, Lease())
    versions = ModelVersions({"version-0001": 1, "version-0002": 2}, 2)
    handover = Handover(job, ledger, versions)
    await handover.take_over(1)
    batches = asyncio.create_task(ledger.flush_periodically())
    await asyncio.sleep(start_s)
    prompts = tuple(f"prompt {n}" for n in range(GROUPS))
    pause_s = STEP_S / (GROUPS * GROUP_SIZE)
    for number in range(STEPS):
        await handover.open(number, prompts)
        for slot in handover.steps_by_number[number].collector.missing_slots():
            await asyncio.sleep(pause_s)
            handover.receive_sample(
                Sample(handover.next_sample_id(slot), "", SPANS, 1, 1300)
            )
        await handover.seal(number)
        step = await handover.fetch(number)
        await handover.acknowledge(number, step.digest)
    batches.cancel()


async def measure() -> None:
    """Prints calls and bytes a second over the simulated time."""
    store = CountingStore()
    trainers = (
        train(store, f"job-{n}", n * STEP_S / TRAINERS) for n in range(TRAINERS)
    )
    await asyncio.gather(*trainers)
    # Each trainer is at work for this long; starts are spread over a step.
    busy_s = STEPS * STEP_S
    print(f"{TRAINERS} trainers, {busy_s:.0f} s simulated at work each")
    for kind, sizes in store.writes_by_kind.items():
        print(
            f"{kind}: {len(sizes) / busy_s:.2f} writes/s, "
            f"{sum(sizes) / busy_s:.0f} B/s, largest {max(sizes)} B"
        )
    writes = sum(map(len, store.writes_by_kind.values()))
    print(f"all: {writes / busy_s:.2f} writes/s")
    print(f"reads: {store.calls['get'] / busy_s:.2f}/s")
    print(f"batch interval {BATCH_INTERVAL_S} s")


def main() -> None:
    """Runs the measurement."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(measure())


if __name__ == "__main__":
    main()

"""Command line of the soak test, such as `python -m soak --seeds 1-50`."""

import asyncio
import pathlib
import random
import tempfile
import time
from typing import Annotated

import cappa
import orjson

from soak.run import Outcome, run_soak


@cappa.command(name="soak")
def soak(
    seeds: Annotated[
        str, cappa.Arg(long=True, help="First and last seed, such as 1-50.")
    ] = "",
    minutes: Annotated[
        float, cappa.Arg(long=True, help="Minutes to run random seeds for.")
    ] = 0.0,
    faulty_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds with faults in each run.")
    ] = 15.0,
    keep: Annotated[
        str, cappa.Arg(long=True, help="Directory for the logs of failed runs.")
    ] = "",
) -> None:
    """Runs seeds one after another and prints one JSON line for each."""
    deadline = time.monotonic() + minutes * 60
    failed = 0
    for seed in _iterate_seeds(seeds, deadline):
        outcome = _run_and_keep_logs(seed, faulty_s, keep)
        print(orjson.dumps(outcome._asdict()).decode(), flush=True)
        failed += bool(outcome.violations)
    raise cappa.Exit(code=1 if failed else 0)


def _iterate_seeds(seed_range: str, deadline: float):
    if seed_range:
        first, _, last = seed_range.partition("-")
        yield from range(int(first), int(last or first) + 1)
        return
    while time.monotonic() < deadline:
        yield random.randrange(1_000_000)


def _run_and_keep_logs(seed: int, faulty_s: float, keep: str) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        directory = pathlib.Path(folder)
        try:
            outcome = asyncio.run(run_soak(seed, faulty_s, directory))
        except (OSError, TimeoutError) as error:
            # The logs of a run that could not start or end are kept, too.
            outcome = Outcome(seed, 0.0, 0, 0, 0, 0, [f"broken off: {error!r}"])
        if outcome.violations and keep:
            log_folder = pathlib.Path(keep) / f"seed-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for log in directory.glob("*.log"):
                (log_folder / log.name).write_bytes(log.read_bytes())
    return outcome


if __name__ == "__main__":
    cappa.invoke(soak)

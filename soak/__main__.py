"""Runs the soak: `python -m soak --seeds 1-50`, or fresh seeds for a time."""

import asyncio
import pathlib
import random
import tempfile
import time
from typing import Annotated

import cappa
import orjson

from soak.run import Outcome, run


@cappa.command(name="soak")
def soak(
    seeds: Annotated[
        str, cappa.Arg(long=True, help="First and last seed, such as 1-50.")
    ] = "",
    minutes: Annotated[
        float, cappa.Arg(long=True, help="Fresh seeds for so long.")
    ] = 0.0,
    faulty_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds with faults in each run.")
    ] = 15.0,
    keep: Annotated[
        str, cappa.Arg(long=True, help="Folder for the logs of failed runs.")
    ] = "",
) -> None:
    """Runs seeds one after the other and prints a JSON line for each."""
    ends = time.monotonic() + minutes * 60
    failed = 0
    for seed in _seeds(seeds, ends):
        outcome = _run_one(seed, faulty_s, keep)
        print(orjson.dumps(outcome._asdict()).decode(), flush=True)
        failed += bool(outcome.violations)
    raise cappa.Exit(code=1 if failed else 0)


def _seeds(text: str, ends: float):
    if text:
        first, _, last = text.partition("-")
        yield from range(int(first), int(last or first) + 1)
        return
    while time.monotonic() < ends:
        yield random.randrange(1_000_000)


def _run_one(seed: int, faulty_s: float, keep: str) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        directory = pathlib.Path(folder)
        outcome = asyncio.run(run(seed, faulty_s, directory))
        if outcome.violations and keep:
            kept = pathlib.Path(keep) / f"seed-{seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for log in directory.glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
    return outcome


if __name__ == "__main__":
    cappa.invoke(soak)

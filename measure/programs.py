"""Starts programs for a measurement and reads what they use."""

import asyncio
import contextlib
import pathlib
import socket
import subprocess
import sys
from collections.abc import Iterator
from typing import NamedTuple

import psutil

_STOP_TIMEOUT_S = 10


class Use(NamedTuple):
    """What a process used in a time.

    Attributes:
      core_share: Share of one core.
      resident_mb: Resident memory at the end, in 10^6 bytes.
    """

    core_share: float
    resident_mb: float


def free_ports(count: int) -> list[int]:
    """Returns ports of the loopback address that are free now."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


@contextlib.contextmanager
def program(
    module: str, settings: str, folder: pathlib.Path
) -> Iterator[psutil.Process]:
    """Runs a program with settings until the context ends.

    Args:
      module: Module of the program, such as `shallotstand.sidecar.main`.
      settings: Content of its TOML settings.
      folder: Folder for settings and logs.
    """
    path = folder / f"{module}-{len(list(folder.iterdir()))}.toml"
    path.write_text(settings, "utf-8")
    with path.with_suffix(".log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", module, "--settings", str(path)],
            stdout=log,
            stderr=log,
        )
        try:
            yield psutil.Process(process.pid)
        finally:
            process.terminate()
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def use_over(process: psutil.Process, seconds: float) -> Use:
    """Measures what a process uses from now on."""
    before = process.cpu_times()
    loop = asyncio.get_running_loop()
    started = loop.time()
    await asyncio.sleep(seconds)
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    return Use(
        core_share=spent / (loop.time() - started),
        resident_mb=process.memory_info().rss / 1e6,
    )


class Slope(NamedTuple):
    """A straight line through measured points.

    Attributes:
      start: Value at zero.
      per_unit: Increase for each unit.
      worst_residual: Largest distance of a point from the line.
    """

    start: float
    per_unit: float
    worst_residual: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.start + self.per_unit * size


def fit(points: list[tuple[float, float]]) -> Slope:
    """Fits a line by least squares.

    Args:
      points: Pairs of size and value; at least two sizes differ.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - per_unit * mean_x
    residual = max(abs(y - start - per_unit * x) for x, y in points)
    return Slope(start, per_unit, residual)

"""What a program uses, and the line through several measurements."""

import asyncio
from typing import NamedTuple

import psutil


class Use(NamedTuple):
    """What a process used in a time.

    Attributes:
      core_share: Share of one core.
      resident_mb: Resident memory at the end, in 10^6 bytes.
    """

    core_share: float
    resident_mb: float


async def use_over(pid: int, seconds: float) -> Use:
    """Measures what a process uses from now on."""
    process = psutil.Process(pid)
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

"""One measured figure and how it is printed."""

from collections.abc import Sequence
from typing import NamedTuple

import orjson


class Figure(NamedTuple):
    """A figure beside that of the baseline in the same run.

    Attributes:
      name: What was measured.
      unit: Its unit.
      value: The measured value.
      baseline: Value of the baseline; None where there is none.
      target: What the requirement asks for.
      at_least: Whether the value must reach the target, or stay below it.
      seed: Seed of the load.
    """

    name: str
    unit: str
    value: float
    baseline: float | None
    target: float
    at_least: bool
    seed: int

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        if self.at_least:
            return self.value >= self.target
        return self.value <= self.target

    def to_json(self) -> bytes:
        """Returns the figure as one JSON line, without its end."""
        return orjson.dumps(
            {
                "name": self.name,
                "unit": self.unit,
                "value": round(self.value, 4),
                "baseline": self.baseline and round(self.baseline, 4),
                "target": round(self.target, 4),
                "met": self.met,
                "seed": self.seed,
            }
        )


def percentile(values: Sequence[float], percent: float) -> float:
    """Returns the value that this share of all values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]

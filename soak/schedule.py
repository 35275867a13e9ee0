"""The faults of a run, drawn from its seed."""

import enum
import random
from typing import NamedTuple


class Fault(enum.Enum):
    """What happens to a machine or to the store."""

    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    DELAY = "delay"
    CUT = "cut"
    SILENT = "silent"
    ONE_WAY = "one way"
    STORE_DOWN = "store down"
    STORE_LOSES = "store loses answers"
    HISTORY = "history dropped"
    KILL_ALL = "kill all"


class Event(NamedTuple):
    """One fault.

    Attributes:
      at_s: Seconds from the start.
      fault: What happens.
      target: Number of the machine; of no meaning for the store.
      for_s: How long it lasts, or until a killed process starts again.
    """

    at_s: float
    fault: Fault
    target: int
    for_s: float


def draw(seed: int, duration_s: float, machines: int) -> list[Event]:
    """Returns the faults of a seed; they overlap and come in series."""
    rng = random.Random(seed)
    events = []
    at_s = rng.uniform(0.5, 1.5)
    while at_s < duration_s - 4:
        fault = rng.choice(list(Fault))
        events.append(
            Event(
                at_s,
                fault,
                rng.randrange(machines),
                rng.uniform(0.3, 3.0),
            )
        )
        at_s += rng.choice((0.05, 0.4, 1.5, 3.0)) * rng.uniform(0.5, 1.5)
    return events

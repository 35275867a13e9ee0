"""The fault schedule of a run, drawn from its seed."""

import enum
import random
from typing import NamedTuple


class Fault(enum.Enum):
    """A kind of fault of a process, its connections or the store."""

    KILL = "kill"
    TERMINATE = "term"
    PAUSE = "pause"
    DELAY = "delay"
    CUT = "cut"
    SILENT = "silent"
    ONE_WAY = "one way"
    STORE_DOWN = "store down"
    STORE_LOSES_ANSWERS = "store loses answers"
    HISTORY_DROPPED = "history dropped"
    KILL_ALL = "kill all"


class FaultEvent(NamedTuple):
    """One scheduled fault.

    Attributes:
      starts_at_s: When it starts, in seconds from the start of the run.
      fault: Kind of fault.
      target: Index of the process; ignored for faults of the store.
      duration_s: How long it lasts, or how long a killed process stays down.
    """

    starts_at_s: float
    fault: Fault
    target: int
    duration_s: float


def draw_faults(
    seed: int, duration_s: float, machine_count: int
) -> list[FaultEvent]:
    """Returns the faults of a seed, which may overlap and come in bursts."""
    rng = random.Random(seed)
    events = []
    starts_at_s = rng.uniform(0.5, 1.5)
    while starts_at_s < duration_s - 4:
        fault = rng.choice(list(Fault))
        events.append(
            FaultEvent(
                starts_at_s,
                fault,
                rng.randrange(machine_count),
                rng.uniform(0.3, 3.0),
            )
        )
        starts_at_s += rng.choice((0.05, 0.4, 1.5, 3.0)) * rng.uniform(0.5, 1.5)
    return events

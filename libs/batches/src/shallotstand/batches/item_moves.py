"""Decides whether an item moves to a faster engine while it runs.

The pattern of load: engines of unequal speed, some of which turn slow for a
moment, run items of very unequal length. A move costs a connection, and the
other engine reads the prompt and the text again. So only items move that would
keep their batch waiting.
"""

from typing import NamedTuple

# An item moves only to an engine that is at least this many times as fast. A
# low ratio suffices, since processing the existing text there takes only
# milliseconds.
MIN_MOVE_SPEEDUP = 1.2
# Minimum time that a move must save; the other engine may have requests queued
# and has to process the existing text before it continues.
MIN_MOVE_SAVING_S = 0.4
# Items that are expected to end within this share of the time in which results
# are due don't move.
ON_TIME_SHARE = 0.5
# Events after which the measured interval is reliable enough for a move.
MIN_EVENTS_BEFORE_MOVE = 4
MAX_MOVES = 3


class RunningItem(NamedTuple):
    """What is known of an item that runs at an engine.

    Attributes:
      event_count: Events that the engine has generated.
      seconds_per_event: Smoothed interval between them; 0 if unknown.
      events_left: Estimated number of events that are still to come.
      age_s: Seconds since the batch was submitted.
      results_due_s: Seconds after submission at which results are due; 0 if
        they have no such time.
      move_count: Moves so far.
    """

    event_count: int
    seconds_per_event: float
    events_left: float
    age_s: float
    results_due_s: float
    move_count: int


def may_move(run: RunningItem) -> bool:
    """Returns whether to look for a faster engine."""
    if run.event_count < MIN_EVENTS_BEFORE_MOVE or run.move_count >= MAX_MOVES:
        return False
    ends_at_s = run.age_s + run.events_left * run.seconds_per_event
    return ends_at_s >= run.results_due_s * ON_TIME_SHARE


def is_worth_moving(
    run: RunningItem, other_seconds_per_event: float | None
) -> bool:
    """Returns whether the fastest other engine saves enough time.

    Args:
      run: The item.
      other_seconds_per_event: Seconds per event there; None if unknown.
    """
    if (
        other_seconds_per_event is None
        or run.seconds_per_event < other_seconds_per_event * MIN_MOVE_SPEEDUP
    ):
        return False
    saved_s = run.events_left * (
        run.seconds_per_event - other_seconds_per_event
    )
    return saved_s > MIN_MOVE_SAVING_S

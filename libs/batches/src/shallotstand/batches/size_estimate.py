"""Estimates how much of an item is still to be generated."""

import math

# Weight of the newest item in the events that a unit of a hint stands for.
SMOOTHING = 0.05
# Hints are right at the median and often far off; an item that has outgrown
# its hint goes on for about this share of its events.
OUTGROWN_SHARE = 0.25


class SizeEstimate:
    """Events that items still have before them, by their callers' hints."""

    def __init__(self) -> None:
        self._events_per_unit: float | None = None

    def note(self, size_hint: int, events: int) -> None:
        """Notes an item that is whole."""
        if size_hint <= 0:
            return
        newest = events / size_hint
        known = self._events_per_unit
        self._events_per_unit = (
            newest if known is None else known + SMOOTHING * (newest - known)
        )

    def events_left(self, size_hint: int, events: int) -> float:
        """Returns the events that an item of this size has before it.

        Before any item was whole nothing bounds them.
        """
        if self._events_per_unit is None:
            return math.inf
        expected = size_hint * self._events_per_unit
        return max(expected - events, events * OUTGROWN_SHARE)

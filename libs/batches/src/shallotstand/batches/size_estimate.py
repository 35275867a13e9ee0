"""Estimates how many events of an item are still to be generated."""

import math

# Smoothing factor of the ratio of events to hinted tokens: the weight of the
# newest item.
SMOOTHING = 0.05
# Minimum estimate of the events left, as a share of the events so far. It
# applies to items that are close to or past their hint or have none. Hints are
# right at the median, but often far off for a single item.
MIN_EVENTS_LEFT_SHARE = 0.5


class SizeEstimate:
    """Estimates remaining events from the callers' size hints."""

    def __init__(self) -> None:
        self._events_per_token: float | None = None

    def record_item(self, size_hint: int, event_count: int) -> None:
        """Updates the estimate with a completed item."""
        if size_hint <= 0:
            return
        newest = event_count / size_hint
        known = self._events_per_token
        self._events_per_token = (
            newest if known is None else known + SMOOTHING * (newest - known)
        )

    def events_left(self, size_hint: int, event_count: int) -> float:
        """Returns the estimated number of events that an item still needs.

        Infinite until the first item with a hint is completed.
        """
        if self._events_per_token is None:
            return math.inf
        expected = size_hint * self._events_per_token
        return max(expected - event_count, event_count * MIN_EVENTS_LEFT_SHARE)

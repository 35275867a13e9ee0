"""Measures how fast an engine generates a text."""

from shallotstand.core.clock import Clock

# Weight of the newest interval in the smoothed interval between events.
INTERVAL_SMOOTHING = 0.3


class EventInterval:
    """Smoothed interval between the events of one attempt.

    Attributes:
      event_count: Events so far.
      seconds_per_event: The interval; 0 before the second event.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_event_at = 0.0
        self.event_count = 0
        self.seconds_per_event = 0.0

    def record_event(self) -> None:
        """Updates the interval with an event that arrived now."""
        now = self._clock.monotonic()
        interval = now - self._last_event_at
        if self.event_count == 1:
            self.seconds_per_event = interval
        elif self.event_count > 1:
            self.seconds_per_event += INTERVAL_SMOOTHING * (
                interval - self.seconds_per_event
            )
        self._last_event_at = now
        self.event_count += 1

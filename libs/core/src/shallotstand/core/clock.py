"""Clocks, passed to whatever measures time so that tests can set it."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic(self) -> float:
        """Returns seconds that never go back; for leases and timeouts."""
        ...

    def wall(self) -> float:
        """Returns seconds since 1970; for usage windows and log lines."""
        ...


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Returns the machine's monotonic time."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns the machine's wall-clock time."""
        return time.time()


class ManualClock:
    """A clock that moves only when told to, for tests."""

    def __init__(self, now: float = 1000.0, wall: float = 1_800_000_000.0):
        self._now = now
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the time that was set."""
        return self._now

    def wall(self) -> float:
        """Returns the wall-clock time that was set."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Moves both times forward."""
        self._now += seconds
        self._wall += seconds

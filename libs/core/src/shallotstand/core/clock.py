"""Clocks, injected wherever time is measured so that tests control it."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic(self) -> float:
        """Returns monotonic seconds, for leases and timeouts."""
        ...

    def wall(self) -> float:
        """Returns seconds since 1970, for usage windows and log lines."""
        ...


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the system's monotonic time, including suspended time.

        A process must not take its leases for valid after its instance was
        suspended.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the system's wall-clock time."""
        return time.time()


class ManualClock:
    """A clock for tests that changes only through `advance`."""

    def __init__(self, now: float = 1000.0, wall: float = 1_800_000_000.0):
        self._now = now
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the simulated monotonic time."""
        return self._now

    def wall(self) -> float:
        """Returns the simulated wall-clock time."""
        return self._wall

    def advance(self, seconds: float) -> None:
        """Advances the monotonic and the wall-clock time."""
        self._now += seconds
        self._wall += seconds

"""Ends the process if it resumes from a pause after its lease."""

import signal
from typing import Protocol


class Watchdog(Protocol):
    """A timer that ends the process unless it is disarmed in time."""

    def arm(self, seconds: float) -> None:
        """Starts the timer, or sets it anew."""
        ...

    def disarm(self) -> None:
        """Stops the timer."""
        ...


class AlarmWatchdog:
    """Watchdog by the kernel's real-time timer.

    SIGALRM keeps its default action, which ends the process. A process that
    was stopped gets the pending signal when it is continued, before it runs
    another instruction.
    """

    def __init__(self) -> None:
        signal.signal(signal.SIGALRM, signal.SIG_DFL)

    def arm(self, seconds: float) -> None:
        """Sets the timer; no time left ends the process at once."""
        # setitimer takes 0 for "off".
        signal.setitimer(signal.ITIMER_REAL, max(seconds, 1e-6))

    def disarm(self) -> None:
        """Stops the timer."""
        signal.setitimer(signal.ITIMER_REAL, 0.0)


class NoWatchdog:
    """Watchdog that does nothing, for tests of the logic around it."""

    def arm(self, seconds: float) -> None:
        """Does nothing."""

    def disarm(self) -> None:
        """Does nothing."""

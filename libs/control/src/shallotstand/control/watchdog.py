"""Ends a process that resumes from a pause after its lease has expired."""

import signal
from typing import Protocol


class Watchdog(Protocol):
    """A timer that ends the process unless it is disarmed in time."""

    def arm(self, seconds: float) -> None:
        """Starts or restarts the timer."""
        ...

    def disarm(self) -> None:
        """Stops the timer."""
        ...


class AlarmWatchdog:
    """Watchdog that uses the kernel's real-time timer.

    SIGALRM keeps its default action, which ends the process. A
    stopped process receives the pending signal when it is continued, before
    it executes another instruction.
    """

    def __init__(self) -> None:
        signal.signal(signal.SIGALRM, signal.SIG_DFL)

    def arm(self, seconds: float) -> None:
        """Starts or restarts the timer; 0 s ends the process at once."""
        # setitimer would disarm the timer at 0.
        signal.setitimer(signal.ITIMER_REAL, max(seconds, 1e-6))

    def disarm(self) -> None:
        """Stops the timer."""
        signal.setitimer(signal.ITIMER_REAL, 0.0)


class NoWatchdog:
    """Watchdog without a timer, for tests of the code that arms it."""

    def arm(self, seconds: float) -> None:
        """Does nothing."""

    def disarm(self) -> None:
        """Does nothing."""

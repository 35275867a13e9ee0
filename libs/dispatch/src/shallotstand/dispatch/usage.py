"""Counts requests by client account and by the window in which they began."""

import collections
from collections.abc import Callable

from shallotstand.core.clock import Clock

# Number of windows whose counts are retained, so that a delayed report can
# still include them. Older windows have been reported or can no longer be
# reported.
MAX_WINDOWS = 12


class UsageMeter:
    """Counts requests by window and client account.

    Attributes:
      counts_by_window: Number of requests by client account, for each window
        number.
    """

    def __init__(self, window_s: float, clock: Clock):
        self._window_s = window_s
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self.counts_by_window: dict[int, collections.Counter[str]] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each request that is counted."""
        self._listeners.append(listener)

    def current_window(self) -> int:
        """Returns the number of the current window."""
        return int(self._clock.wall() // self._window_s)

    def window_end_s(self, window: int) -> float:
        """Returns the Unix time in seconds at which a window ends."""
        return (window + 1) * self._window_s

    def count_request(self, account: str, elapsed_s: float) -> None:
        """Counts a request.

        Args:
          account: Client account of the request.
          elapsed_s: Seconds since it was first sent to an endpoint that may
            have run it.
        """
        window = int((self._clock.wall() - elapsed_s) // self._window_s)
        self.counts_by_window.setdefault(window, collections.Counter())[
            account
        ] += 1
        for expired_window in sorted(self.counts_by_window)[:-MAX_WINDOWS]:
            del self.counts_by_window[expired_window]
        for listener in self._listeners:
            listener()

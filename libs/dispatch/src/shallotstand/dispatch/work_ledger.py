"""The work that the requests of this process still cause at an endpoint."""

import bisect

# A request that has taken longer than expected is taken to need this share of
# what was expected: the longer one has taken, the longer it is likely to go on.
OVERDUE_SHARE = 0.5


class WorkLedger:
    """When the running requests of one endpoint are expected to end.

    Which of them ends is not told: the one that is due first is taken off.
    """

    def __init__(self) -> None:
        self._expected_ends: list[tuple[float, float]] = []

    def begin(self, work_s: float, now: float) -> None:
        """Adds a request that is expected to take `work_s` seconds."""
        bisect.insort(self._expected_ends, (now + work_s, work_s))

    def end(self) -> None:
        """Takes a request off."""
        if self._expected_ends:
            del self._expected_ends[0]

    def left_s(self, now: float) -> float:
        """Returns the seconds of work that are left, of all requests."""
        return sum(
            max(ends_at - now, work_s * OVERDUE_SHARE)
            for ends_at, work_s in self._expected_ends
        )

"""Remembers which attempts a sidecar has seen."""

from collections import OrderedDict

# Twice the longest deadline of a request: no attempt is delivered later.
REMEMBER_S = 1200.0


class SeenAttempts:
    """Refuses an attempt that was delivered twice.

    An entry that repeats a message after a doubtful send would otherwise run a
    request a second time.
    """

    def __init__(self, remember_s: float = REMEMBER_S):
        self._remember_s = remember_s
        self._time_by_key: OrderedDict[tuple[str, int], float] = OrderedDict()

    def add(self, request_id: str, attempt: int, now: float) -> bool:
        """Notes an attempt.

        Args:
          request_id: Identifier of the request.
          attempt: Number of the attempt.
          now: Monotonic time in seconds.

        Returns:
          False if the attempt was noted before.
        """
        self._forget_before(now - self._remember_s)
        key = (request_id, attempt)
        if key in self._time_by_key:
            return False
        self._time_by_key[key] = now
        return True

    def _forget_before(self, limit: float) -> None:
        while self._time_by_key:
            key, added = next(iter(self._time_by_key.items()))
            if added >= limit:
                return
            del self._time_by_key[key]

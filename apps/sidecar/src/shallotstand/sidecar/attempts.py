"""Detects attempts that are delivered more than once."""

from collections import OrderedDict

# Twice the longest deadline of a request. An attempt is never delivered again
# after this time.
RETENTION_S = 1200.0


class SeenAttempts:
    """Remembers attempts, so that each of them runs only once.

    An entry sends a message again if it can't tell whether the first send
    succeeded. Without this check the request could run twice.
    """

    def __init__(self, retention_s: float = RETENTION_S):
        self._retention_s = retention_s
        self._time_by_key: OrderedDict[tuple[str, int], float] = OrderedDict()

    def add(self, request_id: str, attempt: int, now: float) -> bool:
        """Records an attempt.

        Args:
          request_id: Identifier of the request.
          attempt: Number of the attempt.
          now: Monotonic time in seconds.

        Returns:
          False if the attempt was recorded before.
        """
        self._remove_before(now - self._retention_s)
        key = (request_id, attempt)
        if key in self._time_by_key:
            return False
        self._time_by_key[key] = now
        return True

    def _remove_before(self, limit: float) -> None:
        while self._time_by_key:
            key, added = next(iter(self._time_by_key.items()))
            if added >= limit:
                return
            del self._time_by_key[key]

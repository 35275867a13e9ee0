"""A small stand-in for the rate-limited store of weights."""

from collections.abc import Mapping

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure


class StandinWeightStore:
    """Hands out weights at a limited rate.

    Attributes:
      fetches: Number of fetches that were answered with weights.
    """

    def __init__(
        self, weights_by_key: Mapping[str, bytes], rate: float, clock: Clock
    ):
        """Initializes the store.

        Args:
          weights_by_key: What it holds.
          rate: Fetches a second; the burst is one second's worth, at least 1.
          clock: Clock of the rate.
        """
        self.fetches = 0
        self._weights_by_key = dict(weights_by_key)
        self._rate = rate
        self._clock = clock
        self._burst = max(1.0, rate)
        self._allowance = self._burst
        self._counted_at = clock.monotonic()

    async def fetch(self, key: str) -> bytes | Failure:
        """Fetches the weights of a version."""
        if key not in self._weights_by_key:
            return Failure(ResultCode.OBJECT_NOT_FOUND, key)
        if not self._take():
            return Failure(ResultCode.RATE_LIMITED, "Too many fetches.")
        self.fetches += 1
        return self._weights_by_key[key]

    def _take(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._counted_at) * self._rate
        self._counted_at = now
        self._allowance = min(self._burst, self._allowance + earned)
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

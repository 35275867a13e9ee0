"""Delays of reconnections, so that a returning service meets no storm."""

import random

from shallotstand.core.clock import Clock

_FIRST_DELAY_S = 0.2
_MAX_DELAY_S = 10.0
# A client reconnects at most this often in a row, then at the refill rate:
# 400 processes with 3 watches each then make at most 240 calls a second.
_BUDGET = 5.0
_REFILL_PER_S = 0.2


class ReconnectPolicy:
    """Backoff with full jitter within a budget shared by all watches."""

    def __init__(self, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._budget = _BUDGET
        self._refilled_at = clock.monotonic()

    def delay(self, failures: int) -> float:
        """Returns the seconds to wait and takes one call from the budget.

        Args:
          failures: Attempts that failed since the last success, from 1.
        """
        self._refill()
        self._budget -= 1.0
        ceiling = min(_MAX_DELAY_S, _FIRST_DELAY_S * 2 ** min(failures, 16))
        # A budget below zero is owed in time.
        owed_s = max(0.0, -self._budget / _REFILL_PER_S)
        return owed_s + self._rng.uniform(0.0, ceiling)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * _REFILL_PER_S
        self._refilled_at = now
        self._budget = min(_BUDGET, self._budget + refill)

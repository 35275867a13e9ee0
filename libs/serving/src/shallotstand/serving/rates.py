"""Token buckets and the measured throughput of a service."""

# A full bucket holds the tokens of this many seconds.
BURST_S = 2.0
# With fewer finished requests the throughput estimate is unreliable.
MIN_SAMPLES = 8
_DECAY_FACTOR = 0.95


class TokenBucket:
    """Limits the rate of tokens and allows bursts.

    A request is admitted while the level is above zero and is charged its
    expected cost. One request can thus bring the level below zero, and further
    requests wait until the level has recovered.
    """

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._level = rate * BURST_S
        self._updated_at = now

    def set_rate(self, rate: float) -> None:
        """Changes the rate, in tokens per second."""
        self._rate = rate

    def has_tokens(self, now: float) -> bool:
        """Returns whether a request may be admitted."""
        gained = (now - self._updated_at) * self._rate
        self._level = min(self._rate * BURST_S, self._level + gained)
        self._updated_at = now
        return self._level > 0

    def consume(self, tokens: float) -> None:
        """Removes tokens; a negative number puts tokens back."""
        self._level -= tokens


class ThroughputEstimate:
    """Estimates the throughput of a service from finished requests.

    The estimate is based on the time that requests hold a slot. Counting
    the tokens served per period instead would make an idle service look slow,
    so that requests it could serve would be refused.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0
        self._samples = 0

    def add(self, tokens: float, seconds: float) -> None:
        """Adds a finished request and the time for which it held its slot."""
        self._tokens = self._tokens * _DECAY_FACTOR + tokens
        self._seconds = self._seconds * _DECAY_FACTOR + seconds
        self._samples += 1

    def tokens_per_second(self, slots: int) -> float | None:
        """Returns the throughput of all slots; None while unknown."""
        if self._samples < MIN_SAMPLES or self._seconds <= 0:
            return None
        return slots * self._tokens / self._seconds

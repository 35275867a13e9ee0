"""Token buckets and the measured speed of a service."""

# A bucket that was not used holds this many seconds of its rate.
BURST_S = 2.0
# Fewer finished requests say too little of a service's speed.
MIN_SAMPLES = 8
_KEEP_RATIO = 0.95


class TokenBucket:
    """Limits tokens a second, with a burst.

    A request is let in while the level is above zero, at its expected cost,
    so the level can fall below zero once and then has to recover.
    """

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._level = rate * BURST_S
        self._time = now

    def set_rate(self, rate: float) -> None:
        """Uses another rate, in tokens a second, from now on."""
        self._rate = rate

    def has_tokens(self, now: float) -> bool:
        """Says whether a request may be let in."""
        gained = (now - self._time) * self._rate
        self._level = min(self._rate * BURST_S, self._level + gained)
        self._time = now
        return self._level > 0

    def take(self, tokens: float) -> None:
        """Takes tokens, or gives them back if negative."""
        self._level -= tokens


class DrainRate:
    """Speed of one slot of a service, from finished requests.

    It is measured for each slot and not from the tokens of a period, since an
    idle service would then look slow and refuse requests it can serve.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0
        self._samples = 0

    def add(self, tokens: float, seconds: float) -> None:
        """Takes a finished request and the time it held its slot."""
        self._tokens = self._tokens * _KEEP_RATIO + tokens
        self._seconds = self._seconds * _KEEP_RATIO + seconds
        self._samples += 1

    def tokens_per_second(self, slots: int) -> float | None:
        """Returns the speed of all slots together; None while unknown."""
        if self._samples < MIN_SAMPLES or self._seconds <= 0:
            return None
        return slots * self._tokens / self._seconds

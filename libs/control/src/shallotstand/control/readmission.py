"""Damping of endpoints that come and go."""

from shallotstand.core.clock import Clock

FIRST_DELAY_S = 1.0
MAX_DELAY_S = 60.0
# An endpoint that was beyond doubt for this long starts with the first delay
# again; shorter than twice the longest delay, a slow flap would never be
# damped.
FORGET_AFTER_S = 120.0


class Readmission:
    """Delay after which an endpoint that was in doubt gets work again."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._in_doubt = False
        self._delay_s = 0.0
        self._sure_since: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the endpoint is in doubt or its delay is not over."""
        if self._in_doubt:
            return True
        if self._sure_since is None:
            return False
        return self._clock.monotonic() - self._sure_since < self._delay_s

    def note(self, in_doubt: bool) -> None:
        """Notes whether the endpoint is in doubt now."""
        if in_doubt and not self._in_doubt:
            self._lengthen()
        elif self._in_doubt and not in_doubt:
            self._sure_since = self._clock.monotonic()
        self._in_doubt = in_doubt

    def _lengthen(self) -> None:
        now = self._clock.monotonic()
        if self._sure_since is not None and (
            now - self._sure_since >= FORGET_AFTER_S
        ):
            self._delay_s = 0.0
        self._delay_s = min(max(FIRST_DELAY_S, self._delay_s * 2), MAX_DELAY_S)

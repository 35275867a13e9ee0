"""Delays new work for endpoints that are suspected repeatedly."""

from shallotstand.core.clock import Clock

FIRST_DELAY_S = 1.0
MAX_DELAY_S = 60.0
# The delay is reset for an endpoint that was not suspected for this long. Must
# be at least twice MAX_DELAY_S; otherwise the delay would be reset each time
# for an endpoint that fails at long intervals.
DELAY_RESET_AFTER_S = 120.0


class Readmission:
    """Delay after which an endpoint that was suspected gets work again.

    The delay doubles with each suspicion, up to MAX_DELAY_S.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._is_suspected = False
        self._delay_s = 0.0
        self._trusted_since: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the endpoint is suspected or its delay is not over."""
        if self._is_suspected:
            return True
        if self._trusted_since is None:
            return False
        return self._clock.monotonic() - self._trusted_since < self._delay_s

    def update(self, is_suspected: bool) -> None:
        """Records whether the endpoint is suspected now."""
        if is_suspected and not self._is_suspected:
            self._increase_delay()
        elif self._is_suspected and not is_suspected:
            self._trusted_since = self._clock.monotonic()
        self._is_suspected = is_suspected

    def _increase_delay(self) -> None:
        now = self._clock.monotonic()
        if self._trusted_since is not None and (
            now - self._trusted_since >= DELAY_RESET_AFTER_S
        ):
            self._delay_s = 0.0
        self._delay_s = min(max(FIRST_DELAY_S, self._delay_s * 2), MAX_DELAY_S)

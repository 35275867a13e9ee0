"""A small stand-in for the platform's lagging list of instances."""

from collections.abc import Iterable

from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.platform.protocols import Instance


class StandinInstanceList:
    """Shows each list only after a lag."""

    def __init__(
        self, instances: Iterable[Instance], lag_s: float, clock: Clock
    ):
        """Initializes the list.

        Args:
          instances: The list that is shown at first.
          lag_s: Age in seconds at which a later list is shown.
          clock: Clock of the lag.
        """
        self._lag_s = lag_s
        self._clock = clock
        self._shown = list(instances)
        self._coming: list[tuple[float, list[Instance]]] = []

    def set(self, instances: Iterable[Instance]) -> None:
        """Sets the list that is shown after the lag."""
        shown_at = self._clock.monotonic() + self._lag_s
        self._coming.append((shown_at, list(instances)))

    async def instances(self) -> list[Instance] | Failure:
        """Returns the list as it was before the lag."""
        now = self._clock.monotonic()
        while self._coming and self._coming[0][0] <= now:
            self._shown = self._coming.pop(0)[1]
        return list(self._shown)

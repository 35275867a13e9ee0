"""What a receiver of duty calls sees of their senders."""

import time
from typing import NamedTuple


class DutyCall(NamedTuple):
    """An order or a usage report, as it arrived.

    Attributes:
      arrived_at: Monotonic seconds of its arrival.
      holder: Instance that sent it.
      fencing_token: Fencing token that it carries.
    """

    arrived_at: float
    holder: str
    fencing_token: int


class DutyCallLog:
    """Records duty calls and, if asked to, refuses outdated ones.

    Attributes:
      calls: All calls in the order of their arrival.
    """

    def __init__(self, checks_fences: bool):
        """Creates a log.

        Args:
          checks_fences: Whether a call is refused if its fencing token is
            lower than an earlier one.
        """
        self._checks_fences = checks_fences
        self.calls: list[DutyCall] = []

    def accept(self, holder: str, fencing_token: int) -> bool:
        """Records a call; returns whether its fencing token is accepted."""
        is_outdated = any(
            fencing_token < call.fencing_token for call in self.calls
        )
        self.calls.append(DutyCall(time.monotonic(), holder, fencing_token))
        return not (self._checks_fences and is_outdated)

"""Bounds the bytes of all the responses that a process is receiving."""

from collections.abc import Callable

from absl import logging
from shallotstand.core import logs

# Share of a process's memory that incomplete responses may take.
MEMORY_SHARE = 0.125
# A single response of the largest size that is read always fits.
MIN_BUDGET_BYTES = 16 << 20


class Reservation:
    """The bytes that one incomplete response holds.

    A context manager that returns them on exit.

    Attributes:
      find_sender: Returns whom the response comes from, for the log.
      give_up: Closes the connection; the receiver learns that it failed.
      size: Number of bytes held.
    """

    def __init__(
        self,
        budget: "ReceiveBudget",
        find_sender: Callable[[], str],
        give_up: Callable[[], None],
    ):
        self._budget = budget
        self.find_sender = find_sender
        self.give_up = give_up
        self.size = 0

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.resize(0)

    def resize(self, size: int) -> None:
        """Sets the number of bytes held; may give this response up."""
        if size != self.size:
            self._budget.resize(self, size)


class ReceiveBudget:
    """Bytes that a process holds for responses that are not complete yet.

    When they exceed the budget, the largest responses are given up until the
    rest fits. A response without end soon is the largest one, so that the
    usual small responses beside it are not affected. Nothing waits for room: a
    sender that stalls would otherwise block the responses of all others.

    Attributes:
      max_bytes: The budget.
      held_bytes: Number of bytes held now.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._reservations: set[Reservation] = set()

    @classmethod
    def from_memory_limit(cls, memory_bytes: int) -> "ReceiveBudget":
        """Returns the budget of a process whose memory is limited."""
        return cls(max(MIN_BUDGET_BYTES, int(memory_bytes * MEMORY_SHARE)))

    def reserve(
        self, find_sender: Callable[[], str], give_up: Callable[[], None]
    ) -> Reservation:
        """Returns a reservation of no bytes.

        Args:
          find_sender: Returns whom the response comes from.
          give_up: Called if the response has to be given up; closes its
            connection and lets its receiver fail.
        """
        return Reservation(self, find_sender, give_up)

    def resize(self, reservation: Reservation, size: int) -> None:
        """Sets the size of a reservation."""
        self.held_bytes += size - reservation.size
        reservation.size = size
        if size:
            self._reservations.add(reservation)
        else:
            self._reservations.discard(reservation)
        while self.held_bytes > self.max_bytes:
            self._give_up_largest()

    def _give_up_largest(self) -> None:
        largest = max(
            self._reservations, key=lambda reservation: reservation.size
        )
        logs.event(
            logging.WARNING,
            "Response given up, since too many bytes are held",
            sender=largest.find_sender(),
            bytes=largest.size,
            held_bytes=self.held_bytes,
            max_bytes=self.max_bytes,
            responses=len(self._reservations),
        )
        self.resize(largest, 0)
        largest.give_up()

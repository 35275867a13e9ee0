"""Usage records that no controller has stored yet."""

from shallotstand.link.messages import UsageRecord


class UsageLog:
    """Numbers usage records and keeps them until they are acknowledged.

    Attributes:
      source: Incarnation of the sidecar; numbers count within it.
    """

    def __init__(self, source: str, window_s: int):
        self.source = source
        self._window_s = window_s
        self._next_number = 1
        self._by_number: dict[int, UsageRecord] = {}

    def add(
        self,
        account: str,
        service: str,
        wall: float,
        prompt_tokens: int,
        completion_tokens: int,
        request_id: str,
    ) -> UsageRecord:
        """Adds a record for a request that ended at the wall-clock time."""
        record = UsageRecord(
            number=self._next_number,
            account=account,
            service=service,
            window=int(wall) - int(wall) % self._window_s,
            prompt_tokens=prompt_tokens,
            completion_tokens=completion_tokens,
            request_id=request_id,
        )
        self._by_number[record.number] = record
        self._next_number += 1
        return record

    def pending(self) -> tuple[UsageRecord, ...]:
        """Returns the records that are not acknowledged, in order."""
        return tuple(self._by_number.values())

    def acknowledge(self, number: int) -> None:
        """Forgets the records up to a number."""
        for held in [held for held in self._by_number if held <= number]:
            del self._by_number[held]

"""Usage records that no controller has stored yet."""

import itertools

from shallotstand.core.shards import shard_of_account, usage_source_name
from shallotstand.link.messages import UsageRecord


class UsageLog:
    """Numbers usage records and keeps them until they are acknowledged.

    Each usage shard has its own sequence of numbers, since the holder of a
    shard gets only the shard's records and must detect missing ones.
    """

    def __init__(self, incarnation: str, window_s: int, shards: int = 1):
        """Initializes an empty log.

        Args:
          incarnation: Incarnation of the sidecar.
          window_s: Length of a usage window in seconds.
          shards: Number of usage shards; the same for every process.
        """
        self._incarnation = incarnation
        self._window_s = window_s
        self._shards = shards
        self._last_number_by_source: dict[str, int] = {}
        self._records_by_source: dict[str, dict[int, UsageRecord]] = {}

    def add(
        self,
        account: str,
        service: str,
        wall: float,
        prompt_tokens: int,
        completion_tokens: int,
        request_id: str,
    ) -> UsageRecord:
        """Adds a record for a request that ended.

        Args:
          account: Client account that is billed.
          service: Service that ran the request.
          wall: Wall-clock time of the end, in seconds since 1970.
          prompt_tokens: Number of prompt tokens.
          completion_tokens: Number of generated tokens.
          request_id: Identifier of the request.
        """
        source = self.source(account)
        number = self._last_number_by_source.get(source, 0) + 1
        record = UsageRecord(
            number=number,
            account=account,
            service=service,
            window=int(wall) - int(wall) % self._window_s,
            prompt_tokens=prompt_tokens,
            completion_tokens=completion_tokens,
            request_id=request_id,
        )
        self._last_number_by_source[source] = number
        self._records_by_source.setdefault(source, {})[number] = record
        return record

    def source(self, account: str) -> str:
        """Returns the name of the source to which an account's records belong.

        A source is the records of one run of the sidecar for one shard.
        """
        shard = shard_of_account(account, self._shards)
        return usage_source_name(self._incarnation, shard)

    def pending_by_source(self) -> dict[str, tuple[UsageRecord, ...]]:
        """Returns the unacknowledged records of each source, in order."""
        return {
            source: tuple(by_number.values())
            for source, by_number in self._records_by_source.items()
            if by_number
        }

    def pending(self) -> tuple[UsageRecord, ...]:
        """Returns all unacknowledged records."""
        return tuple(
            itertools.chain.from_iterable(self.pending_by_source().values())
        )

    def acknowledge(self, source: str, number: int) -> None:
        """Drops the records of a source up to an acknowledged number."""
        by_number = self._records_by_source.get(source, {})
        for old_number in [key for key in by_number if key <= number]:
            del by_number[old_number]

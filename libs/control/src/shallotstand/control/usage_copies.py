"""Copies that an entry keeps of the usage records of sidecars."""

from collections.abc import Collection, Mapping

from shallotstand.core.shards import incarnation_of_source
from shallotstand.link.messages import UsageRecord

# Maximum number of records kept for one source; the oldest is dropped first.
# At one record per second from each source, this covers an hour in which no
# checkpoint can be stored.
MAX_COPIES = 4096


class UsageCopies:
    """Keeps records until they are stored in the checkpoint of their shard.

    Attributes:
      dropped: Number of copies dropped because of the limit.
    """

    def __init__(self, max_copies: int = MAX_COPIES):
        self.dropped = 0
        self._max_copies = max_copies
        self._copies_by_source: dict[str, dict[int, UsageRecord]] = {}

    def add_record(self, source: str, record: UsageRecord) -> None:
        """Keeps a copy of a record that arrived with the end of an answer."""
        copies = self._copies_by_source.setdefault(source, {})
        copies[record.number] = record
        if len(copies) > self._max_copies:
            del copies[min(copies)]
            self.dropped += 1

    def acknowledge(self, source: str, number: int) -> None:
        """Drops the copies of records up to a number, which are stored."""
        copies = self._copies_by_source.get(source)
        if copies is None:
            return
        for held in [held for held in copies if held <= number]:
            del copies[held]
        if not copies:
            del self._copies_by_source[source]

    def evict_windows_before(self, window: int) -> None:
        """Drops the records of windows that started before a time.

        The holder forgets a source after `FORGET_WINDOWS` windows and would
        then count its records again. A counted record is not always
        acknowledged: the acknowledged number stays below the first missing
        record.

        Args:
          window: Start of the oldest window to keep, seconds since 1970.
        """
        for source, copies in list(self._copies_by_source.items()):
            for number in [n for n, r in copies.items() if r.window < window]:
                del copies[number]
            if not copies:
                del self._copies_by_source[source]

    def records_of_lost_sidecars(
        self, live_incarnations: Collection[str]
    ) -> Mapping[str, tuple[UsageRecord, ...]]:
        """Returns the records to send on behalf of lost sidecars.

        Args:
          live_incarnations: Incarnations of the connected sidecars, which send
            their own records.

        Returns:
          Records by source, in ascending order of their numbers.
        """
        return {
            source: tuple(copies[number] for number in sorted(copies))
            for source, copies in self._copies_by_source.items()
            if incarnation_of_source(source) not in live_incarnations
        }

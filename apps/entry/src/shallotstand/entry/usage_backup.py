"""Sends this entry's copies of usage records of lost sidecars."""

import asyncio

from shallotstand.control.usage_book import FORGET_WINDOWS
from shallotstand.control.usage_copies import UsageCopies
from shallotstand.core.clock import Clock
from shallotstand.link.messages import Usage, UsageAck, UsageRecord
from shallotstand.link.peer_connections import PeerConnectionManager

SEND_INTERVAL_S = 5.0
# As many records as a sidecar sends in a message; well below the size limit.
MAX_RECORDS_PER_MESSAGE = 8192
# The holder of a shard forgets a source FORGET_WINDOWS after the last record
# that it counted. Copies must be dropped before that, even if that record is
# one window older than the newest record.
RETAINED_WINDOWS = FORGET_WINDOWS - 2


class UsageBackup:
    """Keeps copies of usage records and sends those of lost sidecars.

    Attributes:
      peer_connections: Connections to the peers; set right after construction.
    """

    peer_connections: PeerConnectionManager

    def __init__(self, copies: UsageCopies, window_s: int, clock: Clock):
        """Initializes the backup.

        Args:
          copies: Stores the copies of the records.
          window_s: Length of a usage window in seconds.
          clock: Clock of the process.
        """
        self._copies = copies
        self._window_s = window_s
        self._clock = clock

    def add_record(self, source: str, record: UsageRecord) -> None:
        """Keeps a copy of the usage record of an answer."""
        self._copies.add_record(source, record)

    def receive_ack(self, ack: UsageAck) -> None:
        """Drops the records that the checkpoint of the shard contains."""
        self._copies.acknowledge(ack.source, ack.number)

    async def run(self) -> None:
        """Sends the records of lost sidecars every 5 s, until cancelled."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            self.send_lost_records()

    def send_lost_records(self) -> None:
        """Sends the records of lost sidecars to the controllers.

        The records go to all controllers, because the entry does not know the
        holder of a shard; the other controllers ignore the records.
        """
        oldest = int(self._clock.wall()) - RETAINED_WINDOWS * self._window_s
        self._copies.evict_windows_before(oldest)
        sidecars = self.peer_connections.peers("sidecar")
        live = {peer.hello.incarnation for peer in sidecars}
        for source, records in self._copies.records_of_lost_sidecars(
            live
        ).items():
            usage = Usage(source, records[:MAX_RECORDS_PER_MESSAGE])
            self.peer_connections.broadcast(usage, "controller")

"""Collects usage for the held shards and sends their reports."""

import asyncio
from collections.abc import Callable, Iterable

from absl import logging
from shallotstand.control.orders import MAX_ORDER_S, FencedOrder, OrderSender
from shallotstand.control.scopes import HeldScope
from shallotstand.control.usage_book import UsageCheckpoint
from shallotstand.control.usage_reports import UsageReporter
from shallotstand.control.usage_shards import (
    CHECKPOINT_INTERVAL_S,
    UsageShardCollector,
)
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.core.shards import shard_of_account, shard_of_source
from shallotstand.link.messages import Usage, UsageAck
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.platform.protocols import ObjectStore


class UsageReportReceiver:
    """Sends the usage reports of a closed window as one order.

    The reports are sent as an order so that only the holder of the shard sends
    them. Sending a report again sends the same bytes, so no effects need to be
    read back.
    """

    def __init__(
        self,
        reporter: UsageReporter,
        checkpoint: UsageCheckpoint,
        accounts: Iterable[str],
    ):
        self._reporter = reporter
        self._checkpoint = checkpoint
        self._accounts = tuple(accounts)

    async def send_order(self, ticket: FencedOrder) -> Failure | None:
        """Sends the reports of the window."""
        del ticket  # the usage interface does not check epochs
        return await self._reporter.report_window(
            self._checkpoint, self._accounts
        )

    async def fetch_order_effects(self, scope: str) -> Failure | None:
        """Does nothing: the frozen reports are the effects."""
        del scope


class UsageDuty:
    """Collects and reports usage for every shard that this process holds.

    Attributes:
      peer_connections: Connections to the peers; set right after construction.
    """

    peer_connections: PeerConnectionManager

    def __init__(
        self,
        store: ObjectStore,
        reporter: UsageReporter,
        order_sender: OrderSender,
        clock: Clock,
        shards: int,
        window_s: int,
        accounts: Callable[[], Iterable[str]],
        grace_s: int | None = None,
    ):
        """Initializes the duty without any shard.

        Args:
          store: Store of the checkpoints.
          reporter: Freezes and sends reports.
          order_sender: Sends the orders of this process.
          clock: Clock of the process.
          shards: Number of usage shards.
          window_s: Length of a usage window in seconds.
          accounts: Returns the names of all client accounts.
          grace_s: Seconds after a window in which its records still count;
            None for the default.
        """
        self._store = store
        self._reporter = reporter
        self._order_sender = order_sender
        self._clock = clock
        self._shards = shards
        self._window_s = window_s
        self._accounts = accounts
        self._grace_s = grace_s
        self._collectors_by_shard: dict[int, UsageShardCollector] = {}
        # For each shard, the peers that sent records and wait for an
        # acknowledgement, by source.
        self._senders_by_shard: dict[int, dict[str, PeerConnection]] = {}

    def receive_usage(self, usage: Usage, peer: PeerConnection) -> None:
        """Receives records from a sidecar or entry.

        Records of shards that this process does not hold are ignored.
        """
        shard = shard_of_source(usage.source)
        collector = self._collectors_by_shard.get(shard)
        if collector is None:
            return
        collector.receive_records(usage.source, usage.records)
        senders = self._senders_by_shard.setdefault(shard, {})
        senders[usage.source] = peer

    async def run(self, held_scope: HeldScope) -> None:
        """Stores checkpoints and sends reports of one shard until cancelled."""
        shard = int(held_scope.name.partition("/")[2])
        collector = UsageShardCollector(
            shard,
            held_scope.epoch,
            self._store,
            self._clock,
            self._window_s,
            grace_s=self._grace_s,
        )
        self._collectors_by_shard[shard] = collector
        try:
            await self._run_collector(held_scope, collector)
        finally:
            if self._collectors_by_shard.get(shard) is collector:
                del self._collectors_by_shard[shard]

    async def _run_collector(
        self, held_scope: HeldScope, collector: UsageShardCollector
    ) -> None:
        last_reported_window: int | None = None
        while True:
            failure = await collector.write_checkpoint()
            if failure is None:
                self._acknowledge(collector)
                if collector.window != last_reported_window and (
                    await self._report_closed_windows(held_scope, collector)
                ):
                    last_reported_window = collector.window
            else:
                logs.event(
                    logging.WARNING,
                    "Usage checkpoint not stored",
                    shard=collector.shard,
                    code=int(failure.code),
                )
            await asyncio.sleep(CHECKPOINT_INTERVAL_S)

    def _acknowledge(self, collector: UsageShardCollector) -> None:
        """Acknowledges the records in the stored checkpoint.

        All entries get each acknowledgement, since they keep copies of the
        records.
        """
        senders = self._senders_by_shard.pop(collector.shard, {})
        for source, peer in senders.items():
            ack = UsageAck(source, collector.stored_number(source))
            self.peer_connections.broadcast(ack, "entry")
            if peer.hello.role != "entry":
                peer.send(ack)

    async def _report_closed_windows(
        self, held_scope: HeldScope, collector: UsageShardCollector
    ) -> bool:
        """Reports all closed windows that are not reported yet.

        Returns:
          False if some windows must be tried again.
        """
        checkpoints = await collector.read_unreported_windows()
        if isinstance(checkpoints, Failure):
            return False
        accounts = [
            account
            for account in self._accounts()
            if shard_of_account(account, self._shards) == collector.shard
        ]
        for checkpoint in checkpoints:
            receiver = UsageReportReceiver(self._reporter, checkpoint, accounts)
            failure = await self._order_sender.send_order(
                held_scope, receiver, MAX_ORDER_S
            )
            failure = failure or await collector.mark_reported(checkpoint)
            if failure is not None:
                logs.event(
                    logging.WARNING,
                    "Usage window not reported",
                    shard=collector.shard,
                    window=checkpoint["window"],
                    code=int(failure.code),
                )
                return False
        return True

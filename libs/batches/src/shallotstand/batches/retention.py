"""Removes batches from the log after their retention period."""

import asyncio
from collections.abc import Callable

from absl import logging
from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.registry import Batch, BatchRegistry
from shallotstand.core import logs
from shallotstand.core.clock import Clock

SCAN_INTERVAL_S = 5.0
# Added to the retention period: clocks of instances differ, and reads that
# started within the period may still be running.
RETENTION_MARGIN_S = 30.0


class Retention:
    """Removes expired batches.

    A batch is expired if it is no longer open and its retention period is over.
    For each batch, one process is responsible.
    """

    def __init__(
        self,
        batch_registry: BatchRegistry,
        log: BatchLog,
        retention_s: float,
        is_preferred_owner: Callable[[str], bool],
        clock: Clock,
    ):
        """Creates the component that removes expired batches.

        Args:
          batch_registry: The batches known to this process.
          log: The batch log.
          retention_s: Seconds after submission during which results stay
            readable.
          is_preferred_owner: Returns whether this process removes the batch
            with this identifier.
          clock: Source of time.
        """
        self._batch_registry = batch_registry
        self._log = log
        self._retention_s = retention_s
        self._is_preferred_owner = is_preferred_owner
        self._clock = clock

    async def run(self) -> None:
        """Regularly removes expired batches until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            await self.remove_expired()

    async def remove_expired(self) -> None:
        """Removes the expired batches that this process is responsible for."""
        expired = [
            batch
            for batch in self._batch_registry.by_id.values()
            if self._is_expired(batch)
        ]
        for batch in expired:
            if not self._is_preferred_owner(batch.id):
                continue
            failure = await self._log.remove(batch)
            logs.event(
                logging.INFO,
                "Batch removed",
                batch=batch.id,
                entries=batch.entry_count,
                code=int(failure.code) if failure else 0,
            )

    def _is_expired(self, batch: Batch) -> bool:
        age_s = self._clock.wall() - batch.submission.submitted_at
        return (
            not batch.is_open and age_s > self._retention_s + RETENTION_MARGIN_S
        )

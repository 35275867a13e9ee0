"""Assembles the keeper process and runs it until SIGTERM."""

import asyncio

from absl import logging
from shallotstand.adapter import decode, wire_names
from shallotstand.adapter.boot import BootSettings
from shallotstand.adapter.engine_control import HttpEngineControl
from shallotstand.adapter.following import receive_endpoint_change
from shallotstand.adapter.process import (
    install_stop_handlers,
    run_process,
    start_tasks,
)
from shallotstand.adapter.retirements import StoreRetirementReporter
from shallotstand.adapter.store import PlatformStore
from shallotstand.adapter.usage_sink import PlatformUsageSink
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.documents.protocols import Change
from shallotstand.documents.watcher import DocumentWatcher
from shallotstand.duties.lease import DutyLease
from shallotstand.duties.retirements import RetirementHandler
from shallotstand.duties.usage_reports import UsageReporter
from shallotstand.duties.weight_updates import WeightUpdater
from shallotstand.observe.event_metrics import make_store_call_counter
from shallotstand.observe.metrics import Metrics
from shallotstand.outbound.receive_budget import ReceiveBudget

# Changes of endpoints within this time are read with one call to the store.
ENDPOINT_WATCH_PAUSE_S = 0.2
# Interval at which a keeper checks whether it holds the lease.
LEASE_CHECK_INTERVAL_S = 0.2


class KeeperProcess:
    """A keeper process and its components."""

    def __init__(self, boot: BootSettings, process_id: str, metrics: Metrics):
        clock = SystemClock()
        self._clock = clock
        self._store = PlatformStore(
            boot.store_address, make_store_call_counter(metrics)
        )
        self._engine_control = HttpEngineControl(
            boot.instance, ReceiveBudget.from_memory_limit(boot.memory_bytes)
        )
        self._usage_sink = PlatformUsageSink(
            boot.usage_report_address, boot.instance
        )
        self._lease = DutyLease(
            self._store,
            process_id,
            boot.instance,
            boot.duty_turn_interval_s,
            clock,
        )
        self._endpoint_registry = EndpointRegistry(boot.zone, clock)
        self._weight_updater = WeightUpdater(
            self._endpoint_registry, self._engine_control, self._lease, clock
        )
        self._retirement_handler = RetirementHandler(
            StoreRetirementReporter(self._store), self._lease, boot.instance
        )
        self._usage_reporter = UsageReporter(
            self._store,
            self._usage_sink,
            self._lease,
            boot.usage_window_s,
            clock,
        )
        self._endpoint_watcher = DocumentWatcher(
            self._store,
            wire_names.ENDPOINTS_KIND,
            self._receive_endpoint_change,
            clock,
            ENDPOINT_WATCH_PAUSE_S,
        )
        self._watchers = (
            self._endpoint_watcher,
            DocumentWatcher(
                self._store,
                wire_names.VERSIONS_KIND,
                self._receive_version_change,
                clock,
            ),
            DocumentWatcher(
                self._store,
                wire_names.RETIREMENTS_KIND,
                self._receive_retirement_change,
                clock,
            ),
        )

    @classmethod
    def from_config(
        cls, boot: BootSettings, process_id: str, metrics: Metrics
    ) -> "KeeperProcess":
        """Creates a keeper from validated settings."""
        return cls(boot, process_id, metrics)

    async def run(self) -> None:
        """Runs until SIGTERM; performs the duties while it holds the lease."""
        stopping = install_stop_handlers()
        logs.event(logging.INFO, "Started")
        tasks = start_tasks(
            (
                self._watch_while_lease_held,
                self._lease.run,
                self._weight_updater.run,
                self._retirement_handler.run,
                self._usage_reporter.run,
            )
        )
        await stopping.wait()
        logs.event(logging.INFO, "Stopping")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._lease.resign()
        await self._engine_control.close()
        await self._usage_sink.close()
        await self._store.close()
        logs.event(logging.INFO, "Stopped")

    async def _watch_while_lease_held(self) -> None:
        """Watches the store only while this process holds the lease."""
        tasks: list[asyncio.Task] = []
        try:
            while True:
                if self._lease.is_held and not tasks:
                    tasks = start_tasks(
                        watcher.run for watcher in self._watchers
                    )
                elif not self._lease.is_held:
                    for task in tasks:
                        task.cancel()
                    tasks = []
                await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
        finally:
            for task in tasks:
                task.cancel()

    def _receive_endpoint_change(self, change: Change) -> None:
        receive_endpoint_change(
            self._endpoint_registry, self._endpoint_watcher, change, self._clock
        )

    def _receive_version_change(self, change: Change) -> None:
        if change.is_removed:
            return
        requested = decode.published_version(change.document)
        if requested is not None:
            self._weight_updater.receive_version(*requested)

    def _receive_retirement_change(self, change: Change) -> None:
        retirement = decode.retirement(change.document)
        self._retirement_handler.receive_retirement(
            retirement._replace(is_done=True)
            if change.is_removed
            else retirement
        )


async def _run(boot: BootSettings, process_id: str, metrics: Metrics) -> None:
    await KeeperProcess.from_config(boot, process_id, metrics).run()


def main() -> None:
    """Runs the keeper with the settings in the environment and boot file."""
    run_process("shallotstand-keeper", _run)


if __name__ == "__main__":
    main()

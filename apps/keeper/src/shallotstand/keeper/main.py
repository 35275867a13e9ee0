"""Puts the keeper process together and runs it until SIGTERM."""

import asyncio
import signal
import sys

import uvloop
from absl import logging
from shallotstand.adapter import decode, names
from shallotstand.adapter.boot import BootSettings, load_boot_settings
from shallotstand.adapter.cloud import CloudUsageSink
from shallotstand.adapter.engines import EngineClient
from shallotstand.adapter.following import take_endpoint
from shallotstand.adapter.retirements import StoreRetirementDesk
from shallotstand.adapter.store import PlatformStore
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.dispatch.endpoints import EndpointBook
from shallotstand.documents.follower import Follower
from shallotstand.documents.protocols import Change
from shallotstand.duties.lease import DutyLease
from shallotstand.duties.orders import WeightOrders
from shallotstand.duties.reports import UsageReporter
from shallotstand.duties.retirements import Retirements

# Changes of endpoints that come within this time cost one call.
ENDPOINTS_PAUSE_S = 0.2
# How often a keeper looks whether it has come to hold the lease.
FOLLOW_LOOK_S = 0.2
EXIT_SETTINGS = 2


class KeeperProcess:
    """The parts of a keeper process."""

    def __init__(self, boot: BootSettings, process_id: str):
        clock = SystemClock()
        self._clock = clock
        self._store = PlatformStore(boot.store)
        self._client = EngineClient(boot.node)
        self._sink = CloudUsageSink(boot.cloud, boot.node)
        self._lease = DutyLease(self._store, process_id, boot.node, clock)
        self._endpoints = EndpointBook(boot.zone, clock)
        self._orders = WeightOrders(
            self._endpoints, self._client, self._lease, clock
        )
        self._retirements = Retirements(
            StoreRetirementDesk(self._store), self._lease, boot.node
        )
        self._reporter = UsageReporter(
            self._store, self._sink, self._lease, boot.window_s, clock
        )
        self._endpoint_follower = Follower(
            self._store,
            names.ENDPOINTS_KIND,
            self._take_endpoint,
            clock,
            ENDPOINTS_PAUSE_S,
        )
        self._followers = (
            self._endpoint_follower,
            Follower(
                self._store, names.VERSIONS_KIND, self._take_version, clock
            ),
            Follower(
                self._store,
                names.RETIREMENTS_KIND,
                self._take_retirement,
                clock,
            ),
        )

    @classmethod
    def from_config(
        cls, boot: BootSettings, process_id: str
    ) -> "KeeperProcess":
        """Makes a keeper from checked settings."""
        return cls(boot, process_id)

    async def run(self) -> None:
        """Carries duties until SIGTERM."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        logs.event(logging.INFO, "Started")
        tasks = [
            asyncio.create_task(run())
            for run in (
                self._follow_while_holding,
                self._lease.run,
                self._orders.run,
                self._retirements.run,
                self._reporter.run,
            )
        ]
        await stopping.wait()
        logs.event(logging.INFO, "Stopping")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._lease.resign()
        await self._client.close()
        await self._sink.close()
        await self._store.close()
        logs.event(logging.INFO, "Stopped")

    async def _follow_while_holding(self) -> None:
        """Follows the store's objects only while it has duties to carry."""
        tasks: list[asyncio.Task] = []
        try:
            while True:
                if self._lease.is_held and not tasks:
                    tasks = [
                        asyncio.create_task(follower.run())
                        for follower in self._followers
                    ]
                elif not self._lease.is_held:
                    for task in tasks:
                        task.cancel()
                    tasks = []
                await asyncio.sleep(FOLLOW_LOOK_S)
        finally:
            for task in tasks:
                task.cancel()

    def _take_endpoint(self, change: Change) -> None:
        take_endpoint(
            self._endpoints, self._endpoint_follower, change, self._clock
        )

    def _take_version(self, change: Change) -> None:
        if change.is_removed:
            return
        named = decode.named_version(change.document)
        if named is not None:
            self._orders.name_version(*named)

    def _take_retirement(self, change: Change) -> None:
        retirement = decode.retirement(change.document)
        self._retirements.take(
            retirement._replace(is_done=True)
            if change.is_removed
            else retirement
        )

    def _reload(self) -> None:
        logs.event(
            logging.INFO, "Reload asked for; no setting changes at run time"
        )


async def _run(boot: BootSettings, process_id: str) -> None:
    await KeeperProcess.from_config(boot, process_id).run()


def main() -> None:
    """Runs the program."""
    boot = load_boot_settings()
    if isinstance(boot, Failure):
        print(f"error {int(boot.code)}: {boot.reason}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    process_id = f"{boot.node}.{new_id()[:8]}"
    logs.configure("shallotstand-keeper", process_id, stream=sys.stdout)
    uvloop.install()
    asyncio.run(_run(boot, process_id))


if __name__ == "__main__":
    main()

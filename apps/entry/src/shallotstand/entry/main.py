"""The entry process in front of callers and trainers."""

import asyncio
import collections
import random
import signal
from collections.abc import Iterable
from typing import Annotated

import cappa
import uvloop
from absl import logging
from shallotstand.configsync.gauges import ConfigGauges, register_peer_gauge
from shallotstand.configsync.sync import ConfigSync
from shallotstand.control.adoption import ConfigKeeper
from shallotstand.control.membership import Membership
from shallotstand.control.usage_copies import UsageCopies
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.entry.attempts import AttemptPolicies, AttemptRunner
from shallotstand.entry.config_sync import apply_adopted_configs
from shallotstand.entry.crashes import QuarantineSync
from shallotstand.entry.gateway import Gateway
from shallotstand.entry.http_front import make_app
from shallotstand.entry.members import MembershipUpdater
from shallotstand.entry.rollout_service import JobService, RolloutService
from shallotstand.entry.settings import TABLE, EntrySettings
from shallotstand.entry.shares import ShareExchange
from shallotstand.entry.sidecars import Fleet, FleetCallbacks
from shallotstand.entry.traffic import MetricsTrafficRecorder
from shallotstand.entry.trainer_front import add_trainer_routes
from shallotstand.entry.usage_backup import UsageBackup
from shallotstand.link.messages import (
    Crash,
    Message,
    Peer,
    Release,
    Share,
    Suspicion,
    UsageAck,
)
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
    ProcessIdentity,
)
from shallotstand.objects.types import Catalog, RolloutJob
from shallotstand.observe.exposition import serve_metrics_if_configured
from shallotstand.observe.metrics import Metrics
from shallotstand.observe.slo_recorder import SloRecorder
from shallotstand.platform.http_instances import HttpInstanceList
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.platform.protocols import ObjectStore
from shallotstand.rollout.lease import StoreJobLease
from shallotstand.serving.fair_queue import FairAdmission
from shallotstand.serving.hedging import PercentileHedging
from shallotstand.serving.prefix_index import ExpiringPrefixIndex
from shallotstand.serving.prefix_routing import PrefixRouter
from shallotstand.serving.retries import BudgetedRetries
from shallotstand.serving.shortlist import Shortlist
from shallotstand.settings.loader import load_settings_or_exit

# Time for callers to send one more request on a kept-alive connection; the
# answer to it closes the connection. Busy callers send one much sooner.
KEEP_ALIVE_CLOSE_DELAY_S = 1.5


class Entry:
    """Builds the parts of an entry process and runs them."""

    def __init__(self, settings: EntrySettings, store: ObjectStore):
        clock = SystemClock()
        rng = random.Random()
        self.settings = settings
        self.admission = FairAdmission(clock)
        self.crashes = QuarantineSync(clock)
        self.shares = ShareExchange(self.admission)
        self.rollouts = RolloutService()
        self.usage = UsageBackup(UsageCopies(), settings.window_s, clock)
        self.instances = (
            HttpInstanceList(settings.instances_url)
            if settings.instances_url
            else None
        )
        self.members = MembershipUpdater(
            Membership(len(settings.entries), clock), self.instances
        )
        index = ExpiringPrefixIndex(clock)
        self.fleet = Fleet(
            FleetCallbacks(
                on_capacity=self.admission.set_capacity,
                on_crash=self.crashes.receive_crash,
                on_lost_endpoint=self.crashes.report_lost_endpoint,
                index=index,
                on_samples=self.rollouts.receive_offer,
                on_usage=self.usage.add_record,
                on_connected=self.members.record_connected,
                on_disconnected=self.members.record_disconnected,
                on_report=self.members.receive_load_report,
                member_state=self.members.endpoint_state,
            )
        )
        policies = AttemptPolicies(
            Shortlist(rng, index),
            PrefixRouter(rng, index),
            BudgetedRetries(rng),
            PercentileHedging(),
            self.crashes.quarantine,
        )
        self.gateway = Gateway(
            AttemptRunner(settings.zone, self.fleet, policies, clock),
            self.admission,
            clock,
            self.crashes.record_normal_end,
        )
        identity = _identity(settings)
        self.peer_connections = PeerConnectionManager(
            identity, self._serve_peer, clock, self.crashes.add_to_hello
        )
        self.crashes.peer_connections = self.shares.peer_connections = (
            self.peer_connections
        )
        self.usage.peer_connections = self.members.peer_connections = (
            self.peer_connections
        )
        keeper = ConfigKeeper(
            str(settings.peer_listen), map(str, settings.entries), clock
        )
        apply_adopted_configs(keeper, self.gateway)
        self.config_sync = ConfigSync(keeper, store, self.peer_connections)
        self._store = store
        self._clock = clock
        keeper.subscribe(self._adopt_jobs)
        self.metrics = Metrics()
        self.traffic = self.gateway.traffic = MetricsTrafficRecorder(
            self.metrics,
            SloRecorder(
                settings.process_id, identity.incarnation, store, clock
            ),
            clock,
        )
        keeper.subscribe(self.traffic.adopt)
        ConfigGauges(keeper, clock).register_metrics(self.metrics)
        register_peer_gauge(self.metrics, self.peer_connections)
        self.metrics.gauge(
            "queue_length",
            "Requests that wait.",
            "service",
            self._queue_lengths,
        )

    @classmethod
    def from_config(
        cls, settings: EntrySettings, store: ObjectStore
    ) -> "Entry":
        """Creates an entry from checked settings."""
        return cls(settings, store)

    async def run(self) -> None:
        """Serves until SIGTERM, then until the answers in progress end."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        app = make_app(self.settings, self.gateway)
        add_trainer_routes(app, self.gateway, self.rollouts)
        # With TOUCHUP, Sanic leaves out the dispatch of signals without
        # listeners, which takes about a quarter of the time of a request.
        # TOUCHUP works for only one application per process.
        app.config.TOUCHUP = True
        await self.peer_connections.listen()
        for address in self.settings.entries:
            self.peer_connections.maintain_connection(
                address.host, address.port
            )
        self.config_sync.start()
        http_server = await app.create_server(
            host=self.settings.listen.host,
            port=self.settings.listen.port,
            return_asyncio_server=True,
            access_log=False,
        )
        await http_server.startup()
        metrics_server = await serve_metrics_if_configured(
            self.metrics, self.settings.metrics_listen
        )
        tasks = [
            asyncio.create_task(run())
            for run in (
                self.shares.run,
                self.traffic.flush,
                self.usage.run,
                self.members.run,
                self.members.poll_instance_list,
            )
        ]
        logs.event(logging.INFO, "Started", listen=str(self.settings.listen))
        await stop_requested.wait()
        await self._drain()
        self.usage.send_lost_records()
        for task in tasks:
            task.cancel()
        self.rollouts.close()
        await http_server.close()
        await self.config_sync.close()
        await self.peer_connections.close()
        if self.instances is not None:
            await self.instances.close()
        if metrics_server is not None:
            await metrics_server.cleanup()
        logs.event(logging.INFO, "Stopped")

    def _queue_lengths(self) -> Iterable[tuple[str, float]]:
        waiting = collections.Counter()
        for served in self.admission.served_totals():
            waiting[served.service] += served.waiting
        return waiting.items()

    def _adopt_jobs(self, catalog: Catalog) -> None:
        self.rollouts.adopt(catalog, self._make_job)

    def _make_job(self, job: RolloutJob) -> tuple[JobService, StoreJobLease]:
        lease = StoreJobLease(
            self._store,
            job.name,
            self.settings.process_id,
            str(self.settings.listen),
            self._clock,
        )
        service = JobService(
            job, self._store, lease, self.gateway, self.fleet, self._clock
        )
        return service, lease

    async def _serve_peer(self, peer: PeerConnection) -> None:
        """Handles one peer until its connection ends."""
        self.config_sync.track_peer_revision(peer)
        if peer.hello.role == "sidecar":
            await self.fleet.serve(peer)
            return
        if peer.hello.role == "entry":
            self.crashes.receive_hello(peer.hello)
            self.shares.send_totals(peer)
            self.members.send_suspicions(peer)
        try:
            await self.config_sync.serve(peer, self._handle_message)
        finally:
            if peer.hello.role == "entry":
                self.shares.forget_peer(peer)
                self.members.forget_peer(peer)

    def _handle_message(self, peer: PeerConnection, message: Message) -> None:
        match message:
            case Share():
                self.shares.receive_share(peer, message)
            case Crash():
                self.crashes.receive_crash(message)
            case Release():
                self.crashes.receive_release(message)
            case Suspicion():
                self.members.receive_suspicion(peer, message)
            case UsageAck():
                self.usage.receive_ack(message)

    async def _drain(self) -> None:
        self.gateway.refusal = Failure(
            ResultCode.SHUTTING_DOWN, "This entry is shutting down."
        )
        await self.gateway.in_progress.wait_idle(
            self.settings.shutdown_deadline_s
        )
        # The next answer on each connection announces that it will be closed.
        await asyncio.sleep(KEEP_ALIVE_CLOSE_DELAY_S)


def _identity(settings: EntrySettings) -> ProcessIdentity:
    """Returns the identity that this process presents to its peers."""
    address = Peer(
        settings.process_id, "entry", settings.zone, *settings.peer_listen
    )
    return ProcessIdentity(
        settings.process_id, "entry", settings.zone, new_id(), address
    )


@cappa.command(name="shallotstand-entry")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Serves callers and trainers."""
    entry_settings = EntrySettings.from_config(
        load_settings_or_exit(settings, TABLE)
    )
    logs.configure(
        "shallotstand-entry",
        entry_settings.process_id,
        entry_settings.log_level,
    )
    uvloop.install()
    asyncio.run(_run(entry_settings))


async def _run(settings: EntrySettings) -> None:
    store = HttpObjectStore(settings.store_url)
    await Entry.from_config(settings, store).run()
    await store.close()


def main() -> None:
    """Parses the command line and runs the program."""
    cappa.invoke(start)


if __name__ == "__main__":
    main()

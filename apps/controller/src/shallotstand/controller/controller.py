"""The controller, independent of its HTTP clients and command line."""

import asyncio
import traceback
from collections.abc import AsyncIterator, Callable

from absl import logging
from shallotstand.configsync.sync import ConfigSync, peer_name
from shallotstand.control.adoption import ConfigKeeper
from shallotstand.control.orders import OrderSender
from shallotstand.control.publication import RevisionConfirmations
from shallotstand.control.scopes import SCOPE_KEY_PREFIX as SCOPE_PREFIX
from shallotstand.control.scopes import ScopeKeeper
from shallotstand.control.sessions import SESSION_KEY_PREFIX as SESSION_PREFIX
from shallotstand.control.sessions import OwnSession, SessionId, SessionTable
from shallotstand.control.usage_reports import UsageReporter
from shallotstand.control.watchdog import Watchdog
from shallotstand.controller.census import PeerReports
from shallotstand.controller.duties import Duty, DutyRunner
from shallotstand.controller.receivers import PendingOrders
from shallotstand.controller.settings import ControllerSettings
from shallotstand.controller.usage_duty import UsageDuty
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.link.messages import (
    ConfigHeld,
    Crash,
    Load,
    Message,
    OrderResult,
    Peer,
    Release,
    Usage,
)
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
    ProcessIdentity,
)
from shallotstand.objects.types import Catalog
from shallotstand.platform.protocols import (
    ObjectStore,
    StoredObject,
    UsageSink,
)
from shallotstand.serving.quarantine import CrashReport, Quarantine

# Scopes are checked periodically, since no message signals the end of the delay
# after which a scope may be taken.
RECONCILE_INTERVAL_S = 1.0


class Controller:
    """One controller process.

    Attributes:
      catalog: Configuration in force.
      config_keeper: Decides which configuration is in force.
      confirmations: Revisions that the entries use.
      order_sender: Sends orders for the scopes held.
      peer_connections: Connections to sidecars, entries and controllers.
      peer_reports: Latest reports of the connected processes.
      pending_orders: Orders to sidecars that wait for their results.
      quarantine: Quarantined requests, as reported by the entries.
      scope_keeper: Acquires, holds and releases scopes.
      session: Session of this process.
      sync: Synchronizes the configuration with the store and the peers.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        incarnation: str,
        store: ObjectStore,
        sink: UsageSink,
        watchdog: Watchdog,
        clock: Clock,
    ):
        self.catalog = Catalog.empty()
        self._settings = settings
        self._store = store
        session_id = SessionId(settings.process_id, incarnation)
        self.session = OwnSession(session_id, store, clock)
        self._sessions = SessionTable(clock)
        self.scope_keeper = ScopeKeeper(
            self.session, self._sessions, store, clock
        )
        self.order_sender = OrderSender(self.session, store, watchdog, clock)
        self.pending_orders = PendingOrders()
        self._usage_duty = UsageDuty(
            store,
            UsageReporter(store, sink),
            self.order_sender,
            clock,
            settings.usage_shards,
            settings.window_s,
            lambda: self.catalog.accounts_by_name,
            settings.grace_s,
        )
        self._duties_by_kind: dict[str, Duty] = {"usage": self._usage_duty}
        self._duty_runner = DutyRunner(self.scope_keeper, self._duties_by_kind)
        self.peer_connections = PeerConnectionManager(
            _identity(settings, incarnation), self._serve_peer, clock
        )
        self._usage_duty.peer_connections = self.peer_connections
        self.peer_reports = PeerReports(clock)
        self.quarantine = Quarantine(clock)
        entry_names = frozenset(map(str, settings.entries))
        self.confirmations = RevisionConfirmations(entry_names)
        self.config_keeper = ConfigKeeper(
            settings.process_id, entry_names, clock
        )
        self.sync = ConfigSync(self.config_keeper, store, self.peer_connections)
        self.config_keeper.subscribe(self._apply_catalog)

    def _apply_catalog(self, catalog: Catalog) -> None:
        # Revision 0 is the empty catalog with which every process starts.
        if catalog.revision > 0:
            self.catalog = catalog

    def add_duty(self, kind: str, duty: Duty) -> None:
        """Registers the duty for the scopes named `<kind>/...`."""
        self._duties_by_kind[kind] = duty

    def wanted_scopes(self) -> list[str]:
        """Returns the names of all scopes that some controller must hold."""
        return [
            *(f"zone/{zone}" for zone in self._settings.zones),
            *(f"service/{name}" for name in self.catalog.services_by_name),
            *(f"usage/{n}" for n in range(self._settings.usage_shards)),
        ]

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until stopped or until its session ends.

        The session ends when a later run of the process starts.
        """
        await self.peer_connections.listen()
        for address in (*self._settings.peers, *self._settings.entries):
            self.peer_connections.maintain_connection(
                address.host, address.port
            )
        self.sync.start()
        renewing = asyncio.create_task(
            self.session.renew_periodically(self.order_sender.on_renewed)
        )
        tasks = [
            renewing,
            asyncio.create_task(stopping.wait()),
            asyncio.create_task(
                _handle_changes(
                    self._store.watch(SESSION_PREFIX),
                    self._sessions.receive_session_change,
                )
            ),
            asyncio.create_task(
                _handle_changes(
                    self._store.watch(SCOPE_PREFIX),
                    self.scope_keeper.receive_scope_change,
                )
            ),
            asyncio.create_task(self._reconcile_scopes()),
        ]
        # The process can't work without any one of these tasks, so it stops
        # when the first of them ends.
        ended_tasks, _ = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in ended_tasks:
            if (error := task.exception()) is not None:
                trace = "".join(traceback.format_exception(error))
                logs.event(logging.ERROR, "Task failed", traceback=trace)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._shut_down()

    async def _reconcile_scopes(self) -> None:
        while True:
            await self.scope_keeper.update_held_scopes(self.wanted_scopes())
            await self._duty_runner.update_tasks()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def _shut_down(self) -> None:
        """Releases scopes and session, so that a successor need not wait."""
        await self._duty_runner.close()
        for name in list(self.scope_keeper.held_by_name):
            await self.scope_keeper.release_scope(name)
        await self.session.end()
        await self.sync.close()
        await self.peer_connections.close()

    async def _serve_peer(self, peer: PeerConnection) -> None:
        self.sync.track_peer_revision(peer)
        if peer.hello.role != "sidecar":
            self.sync.send_initial_state(peer)
        self.quarantine.merge_peer_state(
            peer.hello.suspects,
            {q.fingerprint: q.left_ms / 1000 for q in peer.hello.quarantined},
        )
        try:
            async for message in peer.messages():
                await self._handle_message(peer, message)
        finally:
            self.sync.forget_peer(peer)
            self.peer_reports.remove_peer(peer)

    async def _handle_message(
        self, peer: PeerConnection, message: Message
    ) -> None:
        match message:
            case Usage():
                self._usage_duty.receive_usage(message, peer)
            case OrderResult():
                self.pending_orders.receive_result(message)
            case Crash():
                self.quarantine.record_crash(CrashReport(*message))
            case Release(fingerprints):
                for fingerprint in fingerprints:
                    self.quarantine.release_request(fingerprint)
            case Load(endpoints):
                self.peer_reports.record_loads(peer, endpoints)
            case ConfigHeld(revision, digest):
                self.peer_reports.record_revision(peer, revision, digest)
                self.sync.handle_message(peer, message)
                name = peer_name(peer.hello)
                await self.confirmations.record_confirmation(name, revision)
            case _:
                self.sync.handle_message(peer, message)


def _identity(
    settings: ControllerSettings, incarnation: str
) -> ProcessIdentity:
    host, port = settings.peer_address
    address = Peer(settings.process_id, "controller", settings.zone, host, port)
    return ProcessIdentity(
        settings.process_id, "controller", settings.zone, incarnation, address
    )


async def _handle_changes(
    changes: AsyncIterator[StoredObject | Failure],
    handle_change: Callable[[StoredObject | Failure], None],
) -> None:
    async for change in changes:
        handle_change(change)

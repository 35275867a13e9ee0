"""The controller without its HTTP clients and command line."""

import asyncio
from collections.abc import AsyncIterator, Callable

from absl import logging
from shallotstand.control.config_store import HEAD_KEY, Head, read_catalog
from shallotstand.control.orders import OrderDesk
from shallotstand.control.scopes import PREFIX as SCOPE_PREFIX
from shallotstand.control.scopes import ScopeKeeper
from shallotstand.control.sessions import PREFIX as SESSION_PREFIX
from shallotstand.control.sessions import OwnSession, SessionId, SessionTable
from shallotstand.control.usage_reports import Reporter
from shallotstand.control.watchdog import Watchdog
from shallotstand.controller.duties import Duty, DutyRoster
from shallotstand.controller.receivers import OrderResults
from shallotstand.controller.settings import ControllerSettings
from shallotstand.controller.usage_duty import UsageDuty
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.link.messages import OrderResult, Peer, Usage
from shallotstand.link.node import Identity, Node, PeerConnection
from shallotstand.objects.types import Catalog
from shallotstand.platform.protocols import (
    ObjectStore,
    StoredObject,
    UsageSink,
)

# Scopes are looked at this often, as delays end without any message.
SETTLE_INTERVAL_S = 1.0


class Controller:
    """One controller process.

    Attributes:
      catalog: Configuration in force.
      desk: Gives orders for the scopes held.
      keeper: Scopes held.
      node: Connections to sidecars, entries and controllers.
      results: Results of orders to sidecars.
      session: Session of this process.
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
        self.keeper = ScopeKeeper(self.session, self._sessions, store, clock)
        self.desk = OrderDesk(self.session, store, watchdog, clock)
        self.results = OrderResults()
        self._usage = UsageDuty(
            store,
            Reporter(store, sink),
            self.desk,
            clock,
            settings.usage_shards,
            settings.window_s,
            lambda: self.catalog.accounts_by_name,
            settings.grace_s,
        )
        self._duties_by_kind: dict[str, Duty] = {"usage": self._usage}
        self._roster = DutyRoster(self.keeper, self._duties_by_kind)
        self.node = Node(_identity(settings, incarnation), self._serve, clock)
        self._usage.node = self.node

    def add_duty(self, kind: str, duty: Duty) -> None:
        """Names who works for the scopes `<kind>/...`."""
        self._duties_by_kind[kind] = duty

    def wanted_scopes(self) -> list[str]:
        """Returns every scope that the controllers are to hold."""
        return [
            *(f"zone/{zone}" for zone in self._settings.zones),
            *(f"service/{name}" for name in self.catalog.services_by_name),
            *(f"usage/{n}" for n in range(self._settings.usage_shards)),
        ]

    async def run(self, stopping: asyncio.Event) -> None:
        """Works until stopped or until a later run of the process starts."""
        await self.node.listen()
        for address in self._settings.peers:
            self.node.dial(address.host, address.port)
        renewing = asyncio.create_task(self.session.keep(self.desk.on_renewed))
        tasks = [
            renewing,
            asyncio.create_task(stopping.wait()),
            asyncio.create_task(
                _watch(
                    self._store.watch(SESSION_PREFIX), self._sessions.observe
                )
            ),
            asyncio.create_task(
                _watch(self._store.watch(SCOPE_PREFIX), self.keeper.observe)
            ),
            asyncio.create_task(self._settle()),
            asyncio.create_task(self._follow_config()),
        ]
        # Any of these that ends, ends the process: none can be done without.
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._leave()

    async def _follow_config(self) -> None:
        """Adopts each published configuration; an older one never."""
        async for stored in self._store.watch(HEAD_KEY):
            if isinstance(stored, Failure) or stored.version == 0:
                continue
            head = Head.decode(stored)
            if isinstance(head, Failure):
                adopted = head
            else:
                adopted = await read_catalog(self._store, head, self.catalog)
            if isinstance(adopted, Failure):
                logs.event(
                    logging.WARNING, "Not adopted", reason=adopted.reason
                )
            else:
                self.catalog = adopted

    async def _settle(self) -> None:
        while True:
            await self.keeper.settle(self.wanted_scopes())
            await self._roster.settle()
            await asyncio.sleep(SETTLE_INTERVAL_S)

    async def _leave(self) -> None:
        """Gives everything up, so that others need not wait."""
        await self._roster.close()
        for name in list(self.keeper.held_by_name):
            await self.keeper.release(name)
        await self.session.end()
        await self.node.close()

    async def _serve(self, peer: PeerConnection) -> None:
        async for message in peer.messages():
            match message:
                case Usage():
                    self._usage.take(message, peer)
                case OrderResult():
                    self.results.take(message)
            self.node.revision = max(self.node.revision, peer.revision)


def _identity(settings: ControllerSettings, incarnation: str) -> Identity:
    host, port = settings.peer_address
    address = Peer(settings.process_id, "controller", settings.zone, host, port)
    return Identity(
        settings.process_id, "controller", settings.zone, incarnation, address
    )


async def _watch(
    changes: AsyncIterator[StoredObject | Failure],
    observe: Callable[[StoredObject | Failure], None],
) -> None:
    async for change in changes:
        observe(change)

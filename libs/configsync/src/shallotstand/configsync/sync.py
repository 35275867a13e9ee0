"""Synchronizes the configuration with the store and with peers."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from absl import logging
from shallotstand.control.adoption import ConfigKeeper, Offer
from shallotstand.control.config_store import (
    HEAD_KEY,
    Head,
    read_catalog,
    read_head,
)
from shallotstand.control.publication import save_withdrawals
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.messages import (
    Config,
    ConfigAsk,
    ConfigHeld,
    Hello,
    Message,
    Withdraw,
)
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.objects.encoding import catalog_digest
from shallotstand.objects.types import Catalog
from shallotstand.platform.conditional import DEFAULT_BACKOFF, Backoff
from shallotstand.platform.protocols import ObjectStore

# Short enough for two reads of the head before the keeper refuses requests with
# keys, which it does after 4 s without contact (ISOLATION_TIMEOUT_S).
_POLL_AFTER_SILENCE_S = 2.0
_POLL_INTERVAL_S = 1.0
# Time to wait for an answer before changes are requested again.
_REQUEST_TIMEOUT_S = 1.0
# Random delays after an outage, so that one process writes the withdrawals and
# the others find them written.
_MAX_SAVE_DELAY_S = 0.5
_SAVE_RETRY_DELAY_S = 2.0
_NO_RETRY = Backoff(attempts=1)
_PEER_ROLES = ("entry", "controller")
_CONFIG_MESSAGES = (Config, ConfigAsk, ConfigHeld, Withdraw)
_FULL_CATALOG_CODES = (ResultCode.REVISION_GAP, ResultCode.DIGEST_MISMATCH)


def _ignore_message(peer: PeerConnection, message: Message) -> None:
    """Ignores a message that is not about configuration."""


class ConfigSync:
    """Exchanges configuration between the keeper, the store and peers."""

    def __init__(
        self,
        keeper: ConfigKeeper,
        store: ObjectStore,
        peer_connections: PeerConnectionManager,
        backoff: Backoff = DEFAULT_BACKOFF,
    ):
        self._keeper = keeper
        self._store = store
        self._peer_connections = peer_connections
        self._backoff = backoff
        self._rng = random.Random()
        self._withdrawals_unsaved = asyncio.Event()
        self._announced_revision = -1
        self._requested_at = -_REQUEST_TIMEOUT_S
        self._tasks: list[asyncio.Task] = []
        keeper.subscribe(self._on_catalog)

    def start(self) -> None:
        """Starts the tasks that read and write the store."""
        self._tasks = [
            asyncio.create_task(task)
            for task in (
                self._watch_head(),
                self._poll_head(),
                self._save_withdrawals(),
            )
        ]

    async def close(self) -> None:
        """Stops the tasks that read and write the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def track_peer_revision(self, peer: PeerConnection) -> None:
        """Records revisions that a peer, which may be a sidecar, reports."""
        peer.on_ping = self._on_ping
        self._record_known_revision(peer.hello.revision)

    async def serve(
        self,
        peer: PeerConnection,
        on_other_message: Callable[
            [PeerConnection, Message], None
        ] = _ignore_message,
    ) -> None:
        """Handles the messages of an entry or controller until it disconnects.

        Args:
          peer: The connection.
          on_other_message: Called with the connection and each message that is
            not about configuration.
        """
        self.send_initial_state(peer)
        try:
            async for message in peer.messages():
                if isinstance(message, _CONFIG_MESSAGES):
                    self.handle_message(peer, message)
                else:
                    on_other_message(peer, message)
        finally:
            self.forget_peer(peer)

    def withdraw_keys(self, hashes: Iterable[str]) -> None:
        """Withdraws keys here and at all peers, and later in the store."""
        if self._broadcast_withdrawals(self._keeper.withdraw_keys(hashes)):
            self._withdrawals_unsaved.set()

    def send_initial_state(self, peer: PeerConnection) -> None:
        """Sends the withdrawals, the held revision and a request if behind.

        Withdrawals come first, so that they are in force before any catalog
        is offered.
        """
        self._send_withdrawals(peer)
        if self._keeper.is_confirmed:
            peer.send(self._config_held_message())
        if self._keeper.is_behind:
            peer.send(ConfigAsk(self._keeper.catalog.revision))

    def forget_peer(self, peer: PeerConnection) -> None:
        """Drops the offers of an entry or controller that has disconnected."""
        # The offers may already be those of a newer connection of this peer.
        if (
            self._peer_connections.connections_by_id.get(peer.hello.process_id)
            is peer
        ):
            self._keeper.forget_peer(peer_name(peer.hello))

    def handle_message(self, peer: PeerConnection, message: Message) -> None:
        """Handles a message about configuration; ignores other messages."""
        name = peer_name(peer.hello)
        match message:
            case Config():
                self._receive_config(peer, name, message)
            case ConfigAsk(revision):
                self._send_withdrawals(peer)
                for offer in self._keeper.changes_after(revision):
                    peer.send(Config(*offer))
            case ConfigHeld(revision):
                self._keeper.record_held_revision(name, revision)
                self._record_known_revision(revision)
                self._request_config(peer, revision)
            case Withdraw(key_hashes):
                self.withdraw_keys(key_hash.hex() for key_hash in key_hashes)

    def _receive_config(
        self, peer: PeerConnection, name: str, config: Config
    ) -> None:
        failure = self._keeper.receive_offer(name, Offer(*config))
        self._record_known_revision(config.revision)
        if failure is None:
            return
        if failure.code in _FULL_CATALOG_CODES and config.base > 0:
            peer.send(ConfigAsk(0))
        if failure.code != ResultCode.REVISION_OLDER:
            _log_failure("Configuration refused", failure, peer=name)

    def _on_ping(self, peer: PeerConnection) -> None:
        self._keeper.record_peer_ping(
            peer_name(peer.hello), peer.highest_config_revision
        )
        self._record_known_revision(peer.highest_config_revision)
        if peer.hello.role in _PEER_ROLES and self._keeper.is_confirmed:
            self._request_config(peer, peer.highest_config_revision)

    def _request_config(self, peer: PeerConnection, revision: int) -> None:
        """Requests changes from a peer that holds a newer revision.

        A fresh process requests the catalog from every peer.
        """
        held_revision = self._keeper.catalog.revision
        if self._keeper.is_confirmed:
            now = asyncio.get_running_loop().time()
            if (
                revision <= held_revision
                or now < self._requested_at + _REQUEST_TIMEOUT_S
            ):
                return
            self._requested_at = now
        peer.send(ConfigAsk(held_revision))

    def _record_known_revision(self, revision: int) -> None:
        self._keeper.record_known_revision(revision)
        self._peer_connections.highest_config_revision = (
            self._keeper.highest_known_revision
        )

    def _on_catalog(self, catalog: Catalog) -> None:
        """Announces a newly adopted revision to the peers."""
        self._peer_connections.highest_config_revision = (
            self._keeper.highest_known_revision
        )
        if catalog.revision == self._announced_revision:
            return  # only withdrawals have changed
        self._announced_revision = catalog.revision
        self._requested_at = -_REQUEST_TIMEOUT_S
        logs.event(
            logging.INFO, "Configuration adopted", revision=catalog.revision
        )
        self._peer_connections.broadcast(
            self._config_held_message(), *_PEER_ROLES
        )

    def _config_held_message(self) -> ConfigHeld:
        catalog = self._keeper.catalog
        return ConfigHeld(catalog.revision, catalog_digest(catalog))

    def _broadcast_withdrawals(self, hashes: frozenset[str]) -> bool:
        """Sends new withdrawals to all peers; False if there are none."""
        if hashes:
            message = Withdraw(tuple(map(bytes.fromhex, sorted(hashes))))
            self._peer_connections.broadcast(message, *_PEER_ROLES)
        return bool(hashes)

    def _send_withdrawals(self, peer: PeerConnection) -> None:
        hashes = sorted(self._keeper.withdrawn)
        if hashes:
            peer.send(Withdraw(tuple(map(bytes.fromhex, hashes))))

    async def _watch_head(self) -> None:
        """Handles each head that the store's watch yields."""
        watch = self._store.watch(HEAD_KEY)
        async with contextlib.aclosing(watch):
            async for stored in watch:
                if isinstance(stored, Failure):
                    _log_failure("Store watch interrupted", stored)
                elif stored.key == HEAD_KEY:
                    await self._receive_head(Head.decode(stored))

    async def _poll_head(self) -> None:
        """Reads the head while behind, or out of contact with store and peers.

        The watch alone is not enough: it yields nothing while the head is
        unchanged or does not exist yet.
        """
        while True:
            keeper = self._keeper
            if keeper.is_behind or keeper.is_isolated_for(
                _POLL_AFTER_SILENCE_S
            ):
                head = await read_head(self._store, _NO_RETRY)
                await self._receive_head(head)
            # Jitter keeps the processes from reading at the same time.
            await asyncio.sleep(_POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _receive_head(self, head: Head | Failure) -> None:
        if isinstance(head, Failure):
            _log_failure("Head not read", head)
            return
        keeper = self._keeper
        keeper.record_store_contact()
        self._record_known_revision(head.revision)
        self._broadcast_withdrawals(keeper.withdraw_keys(head.withdrawn))
        if not keeper.withdrawn.issubset(head.withdrawn):
            self._withdrawals_unsaved.set()
        if keeper.is_confirmed and head.revision <= keeper.catalog.revision:
            return
        catalog = await read_catalog(
            self._store, head, keeper.catalog, self._backoff
        )
        if not isinstance(catalog, Failure):
            catalog = keeper.receive_store_catalog(catalog)
        if isinstance(catalog, Failure):
            _log_failure("Head not adopted", catalog)

    async def _save_withdrawals(self) -> None:
        """Writes unsaved withdrawals to the store, with retries."""
        while True:
            await self._withdrawals_unsaved.wait()
            await asyncio.sleep(self._rng.uniform(0, _MAX_SAVE_DELAY_S))
            self._withdrawals_unsaved.clear()
            saved = await save_withdrawals(
                self._store, self._keeper.withdrawn, self._backoff
            )
            if isinstance(saved, Failure):
                _log_failure("Withdrawals not saved", saved)
                self._withdrawals_unsaved.set()
                await asyncio.sleep(
                    _SAVE_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5)
                )


def peer_name(hello: Hello) -> str:
    """Returns a peer's address, which identifies entries in the settings.

    A process that does not listen is named by its process id instead.
    """
    addresses = (
        f"{peer.host}:{peer.port}"
        for peer in hello.roster
        if peer.process_id == hello.process_id
    )
    return next(addresses, hello.process_id)


def _log_failure(message: str, failure: Failure, **fields: str) -> None:
    logs.event(
        logging.WARNING,
        message,
        code=int(failure.code),
        reason=failure.reason,
        **fields,
    )

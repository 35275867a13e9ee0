"""Connections between the gateways, and their presence messages."""

import asyncio
from collections.abc import Callable, Iterator

from absl import logging
from shallotstand.core import logs, rendezvous
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.link.codec import encode
from shallotstand.link.gateway_messages import Presence
from shallotstand.link.link import Link
from shallotstand.link.messages import Message
from shallotstand.peers.endpoint_uses import UseReport, merge_reports
from shallotstand.peers.registry import PeerAddress, PeerRegistry

# How often a process sends its presence to its peers, and how much less often
# for each peer: the time that a process spends on presence messages must not
# grow with the square of the number of processes.
PRESENCE_INTERVAL_S = 0.4
PRESENCE_INTERVAL_PER_PEER_S = 0.006
# How soon after a presence the next one may tell of a change.
MIN_PRESENCE_INTERVAL_S = 0.1
# A connected peer that has sent no presence for this many intervals counts as
# gone.
PEER_TIMEOUT_INTERVALS = 4
# Longest time for which a connection may leave data unacknowledged.
ACK_TIMEOUT_S = 1.6
# A disconnected peer has this long to reconnect before it counts as gone, since
# connections are reset more often than processes die.
RECONNECT_GRACE_S = 0.6
REDIAL_DELAY_S = 0.25
DIAL_TIMEOUT_S = 0.8
# A process takes over no work for this long after it has started or the store
# has become reachable again. Until then, it may not have received the presence
# of peers that started or recovered at the same time.
PEER_VIEW_SETTLE_S = 1.5
PEER_VIEW_SETTLE_INTERVALS = 1.25
# An instance whose process has sent no presence for this long is dropped from
# the local copy of the registry.
REGISTRATION_EXPIRY_S = 90.0
# Maximum age of the merged endpoint states, and its growth for each peer.
# Merging takes time in proportion to peers and endpoints, so it must not follow
# each presence message.
ENDPOINT_MERGE_INTERVAL_S = 0.05
ENDPOINT_MERGE_INTERVAL_PER_PEER_S = 0.002


# Takes a message and the link on which it arrived.
MessageHandler = Callable[[Message, Link], None]


class _PeerState:
    """What this process knows of the process of another instance."""

    def __init__(self, now: float) -> None:
        self.presence: Presence | None = None
        self.received_at = 0.0
        self.disconnected_at = now
        self.is_connected = False
        self.first_seen_at = now


class PeerMesh:
    """Connections to all other gateways.

    Of two gateways, the one with the smaller instance name opens the
    connection.
    """

    def __init__(
        self,
        own_address: PeerAddress,
        registry: PeerRegistry,
        make_presence: Callable[[], Presence],
        clock: Clock,
    ):
        """Creates the mesh of a process.

        Args:
          own_address: Address of this process.
          registry: Addresses of the other processes.
          make_presence: Returns the presence message of this process.
          clock: Source of time.
        """
        self._own_address = own_address
        self._registry = registry
        self._make_presence = make_presence
        self._clock = clock
        self._store_reachable_since: float | None = None
        self._states_by_instance: dict[str, _PeerState] = {}
        self._dial_tasks_by_instance: dict[str, asyncio.Task] = {}
        self._links: set[Link] = set()
        self._links_by_process: dict[str, Link] = {}
        self._handlers_by_type: dict[type, MessageHandler] = {}
        self._instances_by_batch: dict[str, set[str]] = {}
        self._states_by_endpoint: dict[str, EndpointState] = {}
        self._endpoints_merged_at = float("-inf")
        self._presence_sent_at = float("-inf")
        self._last_sent_batches: tuple[str, ...] = ()
        self._listeners: list[Callable[[], None]] = []
        self._connection_listeners: list[Callable[[Link], None]] = []
        self._server: asyncio.Server | None = None

    async def run(self) -> None:
        """Accepts and opens connections and sends presence until cancelled."""
        self._server = await asyncio.start_server(
            self._accept, self._own_address.host, self._own_address.port
        )
        try:
            while True:
                self._dial_missing_peers()
                self._send_presence()
                await asyncio.sleep(self._presence_interval_s)
        finally:
            self._server.close()
            for task in self._dial_tasks_by_instance.values():
                task.cancel()

    @property
    def _presence_interval_s(self) -> float:
        return max(
            PRESENCE_INTERVAL_S,
            PRESENCE_INTERVAL_PER_PEER_S
            * len(self._registry.addresses_by_instance),
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each presence message of a peer."""
        self._listeners.append(listener)

    def subscribe_connections(self, listener: Callable[[Link], None]) -> None:
        """Calls the listener with each new connection to a peer."""
        self._connection_listeners.append(listener)

    def register_handler(
        self, message_type: type, handler: MessageHandler
    ) -> None:
        """Calls the handler with each message of a type."""
        self._handlers_by_type[message_type] = handler

    def broadcast_presence(self) -> None:
        """Sends the presence of this process at once, since it has changed."""
        self._send_presence()

    def announce_change(self) -> None:
        """Sends the presence of this process unless it has just been sent."""
        if (
            self._clock.monotonic() - self._presence_sent_at
            >= MIN_PRESENCE_INTERVAL_S
        ):
            self._send_presence()

    def broadcast(self, message: Message) -> None:
        """Sends a message to all peers."""
        if not self._links:
            return
        encoded = encode(message)
        for link in self._links:
            link.send_encoded(encoded)

    def link_to_runner(self, batch_id: str) -> Link | None:
        """Returns a link to a peer that can answer for a batch, or None.

        A peer that reaches the store is preferred, then one of the same zone.
        A peer that is stopping or cannot reach the store can still return the
        results that it knows.
        """
        zone = self._make_presence().zone
        runners = [
            presence
            for presence in (
                self._states_by_instance[instance].presence
                for instance in self._instances_by_batch.get(batch_id, ())
            )
            if presence.process_id in self._links_by_process
        ]
        runners.sort(
            key=lambda presence: (
                not presence.reaches_store,
                presence.zone != zone,
            )
        )
        return (
            self._links_by_process[runners[0].process_id] if runners else None
        )

    @property
    def is_peer_view_complete(self) -> bool:
        """Whether all live peers have had time to report their presence."""
        if self._store_reachable_since is None:
            return False
        settle_s = max(
            PEER_VIEW_SETTLE_S,
            PEER_VIEW_SETTLE_INTERVALS * self._presence_interval_s,
        )
        return self._clock.monotonic() - self._store_reachable_since > settle_s

    @property
    def is_isolated(self) -> bool:
        """Whether fewer than half of the registered peers reach this process.

        Peers that have ended and not started again count, too, for a while.
        """
        instances = self._registry.addresses_by_instance.keys()
        reached = sum(
            self._is_alive(self._states_by_instance[instance])
            for instance in instances & self._states_by_instance.keys()
        )
        return 2 * reached < len(instances)

    def is_process_available(self, process_id: str) -> bool:
        """Returns whether a process is alive and can write to the store."""
        return any(
            presence.process_id == process_id
            for presence in self._available_presences()
        )

    def is_batch_claimed(self, batch_id: str) -> bool:
        """Returns whether an available peer claims a batch.

        A peer claims the batches that it runs, and ended ones whose results it
        has read.
        """
        return any(
            self._is_available(self._states_by_instance[instance])
            for instance in self._instances_by_batch.get(batch_id, ())
        )

    def was_claimed(self, batch_id: str) -> bool:
        """Returns whether any peer, available or not, claims a batch."""
        return batch_id in self._instances_by_batch

    def preferred_owner(self, name: str) -> str:
        """Returns the available process that is responsible for a task.

        All processes that know the same peers return the same process.

        Args:
          name: Name of the task, such as a role or a batch's identifier.

        Returns:
          Identifier of the process; empty if no process is available.
        """
        process_ids = [
            presence.process_id for presence in self._available_presences()
        ]
        if self._make_presence().reaches_store:
            process_ids.append(self._own_address.process_id)
        return max(
            process_ids,
            key=lambda process_id: rendezvous.weight(name, process_id),
            default="",
        )

    def is_preferred_owner(self, name: str) -> bool:
        """Returns whether this process is responsible for a task."""
        return self.preferred_owner(name) == self._own_address.process_id

    def states_by_endpoint(self) -> dict[str, EndpointState]:
        """Returns the load and speed that peers report, by endpoint.

        The result is cached, since it is needed for each choice of an endpoint.
        """
        now = self._clock.monotonic()
        interval_s = max(
            ENDPOINT_MERGE_INTERVAL_S,
            ENDPOINT_MERGE_INTERVAL_PER_PEER_S * len(self._states_by_instance),
        )
        if now - self._endpoints_merged_at > interval_s:
            self._endpoints_merged_at = now
            self._states_by_endpoint = self._merge_endpoint_states()
        return self._states_by_endpoint

    def _merge_endpoint_states(self) -> dict[str, EndpointState]:
        reports_by_endpoint: dict[str, list[UseReport]] = {}
        for state in self._states_by_instance.values():
            if state.presence is not None and self._is_alive(state):
                for use in state.presence.uses:
                    reports_by_endpoint.setdefault(use.endpoint, []).append(
                        UseReport(
                            use, state.presence.process_id, state.received_at
                        )
                    )
        return {
            endpoint: merge_reports(reports)
            for endpoint, reports in reports_by_endpoint.items()
        }

    def available(self) -> list[Presence]:
        """Returns the last presence of each available peer."""
        return list(self._available_presences())

    def available_in_zone(self, zone: str) -> list[Presence]:
        """Returns the last presence of each available peer in a zone."""
        return [
            presence
            for presence in self._available_presences()
            if presence.zone == zone
        ]

    def link_to_process(self, process_id: str) -> Link | None:
        """Returns the link to a process; None if it is not connected."""
        return self._links_by_process.get(process_id)

    def _available_presences(self) -> Iterator[Presence]:
        return (
            state.presence
            for state in self._states_by_instance.values()
            if self._is_available(state)
        )

    def _is_available(self, state: _PeerState) -> bool:
        return (
            state.presence is not None
            and state.presence.reaches_store
            and self._is_alive(state)
        )

    def _is_alive(self, state: _PeerState) -> bool:
        now = self._clock.monotonic()
        if state.is_connected:
            timeout_s = PEER_TIMEOUT_INTERVALS * self._presence_interval_s
            return now - state.received_at < timeout_s
        return now - state.disconnected_at < RECONNECT_GRACE_S

    def _send_presence(self) -> None:
        self._presence_sent_at = self._clock.monotonic()
        presence = self._make_presence()
        if not presence.reaches_store:
            self._store_reachable_since = None
        elif self._store_reachable_since is None:
            self._store_reachable_since = self._clock.monotonic()
        if presence.batches == self._last_sent_batches:
            presence = presence._replace(batches=(), keeps_batches=True)
        else:
            self._last_sent_batches = presence.batches
        self.broadcast(presence)

    def _dial_missing_peers(self) -> None:
        for instance, address in list(
            self._registry.addresses_by_instance.items()
        ):
            state = self._peer_state(instance)
            self._remove_if_expired(instance, state)
            task = self._dial_tasks_by_instance.get(instance)
            if instance < self._own_address.instance or (
                task and not task.done()
            ):
                continue
            self._dial_tasks_by_instance[instance] = asyncio.create_task(
                self._dial(address)
            )

    async def _dial(self, address: PeerAddress) -> None:
        link = await Link.connect(address.host, address.port, DIAL_TIMEOUT_S)
        if isinstance(link, Failure):
            await asyncio.sleep(REDIAL_DELAY_S)
            return
        await self._serve_connection(link)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._serve_connection(Link(reader, writer))

    async def _serve_connection(self, link: Link) -> None:
        """Handles the messages of a connection until it ends."""
        instance = ""
        process_id = ""
        self._links.add(link)
        link.set_tcp_user_timeout(ACK_TIMEOUT_S)
        link.send(self._make_presence())
        for listener in self._connection_listeners:
            listener(link)
        try:
            async for message in link.messages():
                if isinstance(message, Presence):
                    instance, process_id = message.node, message.process_id
                    self._links_by_process[process_id] = link
                    self._receive_presence(message)
                elif handler := self._handlers_by_type.get(type(message)):
                    handler(message, link)
        finally:
            self._links.discard(link)
            if self._links_by_process.get(process_id) is link:
                del self._links_by_process[process_id]
            if instance:
                self._record_disconnect(instance)
            await link.close()

    def _receive_presence(self, presence: Presence) -> None:
        state = self._peer_state(presence.node)
        now = self._clock.monotonic()
        previous = state.presence
        if presence.keeps_batches and previous is not None:
            presence = presence._replace(batches=previous.batches)
        if not state.is_connected or (
            previous is not None and previous.process_id != presence.process_id
        ):
            logs.event(
                logging.INFO,
                "Peer connected",
                peer=presence.process_id,
                after_s=round(now - state.disconnected_at, 3),
            )
        state.is_connected = True
        state.received_at = now
        if (
            previous is not None
            and previous.reaches_store != presence.reaches_store
        ):
            logs.event(
                logging.INFO,
                "Peer regained the store"
                if presence.reaches_store
                else "Peer lost the store",
                peer=presence.process_id,
            )
        if previous is None or previous.batches != presence.batches:
            self._record_batches(presence.node, previous, presence.batches)
        state.presence = presence
        for listener in self._listeners:
            listener()

    def _record_batches(
        self,
        instance: str,
        previous: Presence | None,
        batches: tuple[str, ...],
    ) -> None:
        """Records which batches a peer claims instead of its previous ones."""
        for batch_id in () if previous is None else previous.batches:
            instances = self._instances_by_batch.get(batch_id, set())
            instances.discard(instance)
            if not instances:
                self._instances_by_batch.pop(batch_id, None)
        for batch_id in batches:
            self._instances_by_batch.setdefault(batch_id, set()).add(instance)

    def _record_disconnect(self, instance: str) -> None:
        state = self._peer_state(instance)
        state.is_connected = False
        state.disconnected_at = self._clock.monotonic()
        logs.event(logging.INFO, "Peer connection ended", peer=instance)

    def _remove_if_expired(self, instance: str, state: _PeerState) -> None:
        last_seen_at = max(state.received_at, state.first_seen_at)
        if self._clock.monotonic() - last_seen_at < REGISTRATION_EXPIRY_S:
            return
        logs.event(logging.INFO, "Peer forgotten", peer=instance)
        self._registry.addresses_by_instance.pop(instance, None)
        self._record_batches(instance, state.presence, ())
        self._states_by_instance.pop(instance, None)

    def _peer_state(self, instance: str) -> _PeerState:
        if instance not in self._states_by_instance:
            self._states_by_instance[instance] = _PeerState(
                self._clock.monotonic()
            )
        return self._states_by_instance[instance]

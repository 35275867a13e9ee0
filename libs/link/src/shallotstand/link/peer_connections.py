"""Connections of a process to its peers: dialing, accepting, heartbeats."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.version import VERSION
from shallotstand.link.codec import encode
from shallotstand.link.link import Link
from shallotstand.link.messages import Hello, Message, Peer, Ping

PING_INTERVAL_S = 1.0
# After this much silence a peer is suspected to be down and gets no new work.
SUSPECT_AFTER_S = 3.0
# After this much silence the connection is closed. Longer than SUSPECT_AFTER_S,
# because a blocked event loop also delays a peer's pings.
IDLE_TIMEOUT_S = 10.0
_HELLO_TIMEOUT_S = 5.0
_RECONNECT_MIN_S = 0.2
_RECONNECT_MAX_S = 5.0


class ProcessIdentity(NamedTuple):
    """Identity of a process.

    Attributes:
      process_id: Name from the settings, unique in the deployment.
      role: `entry`, `controller` or `sidecar`.
      zone: Availability zone.
      incarnation: Random identifier of this run.
      address: Address that the process listens on; None if it only dials.
    """

    process_id: str
    role: str
    zone: str
    incarnation: str
    address: Peer | None = None


class PeerConnection:
    """A connection on which both sides have sent Hello.

    Attributes:
      link: The connection.
      hello: The peer's first Hello.
      highest_config_revision: Highest configuration revision that the peer
        has reported.
      on_ping: Called with this connection after each Ping of the peer.
      on_hello: Called with each later Hello; the peer sends one when a new
        process that accepts connections has connected to it.
    """

    def __init__(self, link: Link, hello: Hello, clock: Clock):
        self.link = link
        self.hello = hello
        self.highest_config_revision = hello.revision
        self.on_ping: Callable[[PeerConnection], None] = lambda _: None
        self.on_hello: Callable[[Hello], None] = lambda _: None
        self._clock = clock
        self._last_received_at = clock.monotonic()
        self._clock_offset_ms: int | None = None

    @property
    def silence_s(self) -> float:
        """Seconds since the peer's last message."""
        return self._clock.monotonic() - self._last_received_at

    @property
    def is_silent(self) -> bool:
        """Whether nothing has arrived for `SUSPECT_AFTER_S` seconds."""
        return self.silence_s > SUSPECT_AFTER_S

    @property
    def peer_monotonic_ms(self) -> int | None:
        """The peer's monotonic clock, late by at most a Ping's transit time.

        None until the first Ping arrives. The deadline of an order is a time on
        the receiver's clock, so the clocks of different hosts need not agree.
        """
        if self._clock_offset_ms is None:
            return None
        return int(self._clock.monotonic() * 1000) + self._clock_offset_ms

    def send(self, message: Message) -> bool:
        """Sends a message; returns False if the connection has ended."""
        return self.link.send(message)

    async def messages(self) -> AsyncIterator[Message]:
        """Yields the peer's messages until the connection ends.

        Ping and Hello are handled here and not yielded.
        """
        messages = self.link.messages()
        while True:
            try:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    message = await anext(messages, None)
            except TimeoutError:
                return
            if message is None:
                return
            self._last_received_at = self._clock.monotonic()
            if isinstance(message, Ping):
                self._handle_ping(message)
                self.on_ping(self)
            elif isinstance(message, Hello):
                self.on_hello(message)
            else:
                yield message

    def _handle_ping(self, ping: Ping) -> None:
        self.highest_config_revision = max(
            self.highest_config_revision, ping.revision
        )
        now_ms = int(self._clock.monotonic() * 1000)
        offset_ms = ping.monotonic_ms - now_ms
        # The Ping with the smallest delay gives the best estimate.
        if self._clock_offset_ms is None or offset_ms > self._clock_offset_ms:
            self._clock_offset_ms = offset_ms


class PeerConnectionManager:
    """Maintains one connection to each peer.

    Attributes:
      identity: Identity of this process.
      connections_by_id: Open connections to peers, by the peer's process id.
      highest_config_revision: Highest configuration revision that this process
        has seen; it is sent to peers in each Hello and Ping.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        serve: Callable[[PeerConnection], Awaitable[None]],
        clock: Clock,
        extend_hello: Callable[[Hello], Hello] = lambda hello: hello,
    ):
        """Initializes the manager without any connection.

        Args:
          identity: Identity of this process.
          serve: Coroutine function that handles a peer until its messages end;
            it runs in the task of the connection.
          clock: Clock of the process.
          extend_hello: Adds the fields that are specific to the program to a
            Hello.
        """
        self.identity = identity
        self.connections_by_id: dict[str, PeerConnection] = {}
        self.highest_config_revision = 0
        self._serve = serve
        self._clock = clock
        self._extend_hello = extend_hello
        self._rng = random.Random()
        self._server: asyncio.Server | None = None
        self._peer_by_address: dict[tuple[str, int], Peer] = {}
        self._dial_tasks: dict[tuple[str, int], asyncio.Task] = {}
        self._announced_addresses: set[tuple[str, int]] = set()
        self._accept_tasks: set[asyncio.Task] = set()
        self._ping_sequence = itertools.count(1)
        self._ping_task: asyncio.Task | None = None
        self._is_closing = False

    async def listen(self) -> None:
        """Starts accepting connections on `identity.address`, which is set."""
        address = self.identity.address
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port
        )

    def maintain_connection(self, host: str, port: int) -> None:
        """Connects to an address and reconnects when the connection ends."""
        local = self.identity.address
        if local is not None and (host, port) == (local.host, local.port):
            return
        if (host, port) not in self._dial_tasks and not self._is_closing:
            self._dial_tasks[host, port] = asyncio.create_task(
                self._keep_connected(host, port)
            )

    def peers(self, *roles: str) -> list[PeerConnection]:
        """Returns the open connections to peers of these roles."""
        return [
            peer
            for peer in self.connections_by_id.values()
            if peer.hello.role in roles
        ]

    def broadcast(self, message: Message, *roles: str) -> None:
        """Sends a message to every connected peer of these roles."""
        encoded = encode(message)
        for peer in self.peers(*roles):
            peer.link.send_encoded(encoded)

    async def close(self) -> None:
        """Closes all connections and stops listening and dialing."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        tasks = [*self._dial_tasks.values(), *self._accept_tasks]
        if self._ping_task is not None:
            tasks.append(self._ping_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_connected(self, host: str, port: int) -> None:
        delay = _RECONNECT_MIN_S
        while True:
            link = None
            if not self._is_connected(host, port):
                link = await Link.connect(host, port)
            if isinstance(link, Link):
                delay = _RECONNECT_MIN_S
                await self._run_connection(link, dialed=True)
            else:
                delay = min(delay * 2, _RECONNECT_MAX_S)
            # Jitter keeps processes from all reconnecting at the same time.
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))

    def _is_connected(self, host: str, port: int) -> bool:
        peer = self._peer_by_address.get((host, port))
        return peer is not None and peer.process_id in self.connections_by_id

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._accept_tasks.add(task)
        # Only `close` cancels this task; asyncio would log the cancellation of
        # a connection's task as a server error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._run_connection(Link(reader, writer), dialed=False)
        self._accept_tasks.discard(task)

    async def _run_connection(self, link: Link, dialed: bool) -> None:
        """Exchanges Hello and serves the peer until the connection ends."""
        try:
            link.send(self._make_hello())
            hello = await self._receive_hello(link)
            if hello is None:
                logs.event(
                    logging.WARNING,
                    "Connection closed: no Hello received",
                    peer=link.peer_address,
                )
                return
            self._dial_roster(hello)
            if self._is_redundant(hello, dialed):
                return
            await self._serve_peer(PeerConnection(link, hello, self._clock))
        finally:
            await link.close()

    async def _serve_peer(self, peer: PeerConnection) -> None:
        process_id = peer.hello.process_id
        self.connections_by_id[process_id] = peer
        # The first Ping is sent immediately: the peer needs the clock reading
        # in the Ping to set the deadlines of orders, and the Ping shows that
        # this process receives the peer's messages.
        peer.send(self._next_ping())
        peer.on_hello = self._dial_roster
        self._announce_listeners(peer)
        if self._ping_task is None:
            self._ping_task = asyncio.create_task(self._send_pings())
        logs.event(logging.INFO, "Peer connected", peer=process_id)
        try:
            await self._serve(peer)
        finally:
            if self.connections_by_id.get(process_id) is peer:
                del self.connections_by_id[process_id]
            failure = peer.link.failure
            logs.event(
                logging.INFO,
                "Peer disconnected",
                peer=process_id,
                reason=failure.reason if failure else "closed",
            )

    def _is_redundant(self, hello: Hello, dialed: bool) -> bool:
        """Returns whether another connection to the peer is kept instead.

        If two processes dial each other at the same time, both keep the
        connection dialed by the process with the smaller id.
        """
        existing = self.connections_by_id.get(hello.process_id)
        if existing is None or existing.hello.incarnation != hello.incarnation:
            return False
        if not existing.link.is_open or existing.is_silent:
            return False
        return dialed == (self.identity.process_id > hello.process_id)

    async def _receive_hello(self, link: Link) -> Hello | None:
        try:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                first = await anext(link.messages(), None)
        except TimeoutError:
            return None
        return first if isinstance(first, Hello) else None

    async def _send_pings(self) -> None:
        """Sends a Ping to all peers each second; each is encoded only once."""
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            encoded = encode(self._next_ping())
            for peer in self.connections_by_id.values():
                peer.link.send_encoded(encoded)

    def _next_ping(self) -> Ping:
        now_ms = int(self._clock.monotonic() * 1000)
        return Ping(
            next(self._ping_sequence), self.highest_config_revision, now_ms
        )

    def _dial_roster(self, hello: Hello) -> None:
        """Connects to the entries and controllers in a peer's roster."""
        for peer in hello.roster:
            self._peer_by_address[peer.host, peer.port] = peer
            self.maintain_connection(peer.host, peer.port)

    def _announce_listeners(self, new_peer: PeerConnection) -> None:
        """Sends a Hello to all peers but the new one if the roster has grown.

        Each address is announced once, because a process keeps its address when
        it restarts.
        """
        addresses = {(p.host, p.port) for p in self._known_listeners()}
        if addresses <= self._announced_addresses:
            return
        self._announced_addresses |= addresses
        encoded = encode(self._make_hello())
        for peer in self.connections_by_id.values():
            if peer is not new_peer:
                peer.link.send_encoded(encoded)

    def _make_hello(self) -> Hello:
        identity = self.identity
        roster = {p.process_id: p for p in self._known_listeners()}
        return self._extend_hello(
            Hello(
                process_id=identity.process_id,
                role=identity.role,
                zone=identity.zone,
                incarnation=identity.incarnation,
                revision=self.highest_config_revision,
                roster=tuple(roster.values()),
                version=VERSION,
            )
        )

    def _known_listeners(self) -> Iterable[Peer]:
        """Yields this process and its connected peers, if they listen."""
        if self.identity.address is not None:
            yield self.identity.address
        for peer in self._peer_by_address.values():
            if peer.process_id in self.connections_by_id:
                yield peer

"""Accepts connections from sidecars, other entries and controllers."""

import asyncio

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.entry.settings import EntrySettings
from shallotstand.entry.sidecars import Fleet
from shallotstand.link.link import Link
from shallotstand.link.messages import Hello, Ping

PING_INTERVAL_S = 1.0
_HELLO_TIMEOUT_S = 5.0


class PeerServer:
    """Listens for other shallotstand processes.

    Attributes:
      revision: Highest configuration revision that this process has seen.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        fleet: Fleet,
        clock: Clock,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._fleet = fleet
        self._clock = clock
        self.revision = 0

    async def start(self) -> asyncio.Server:
        """Starts to listen."""
        address = self._settings.peer_listen
        return await asyncio.start_server(
            self._accept, address.host, address.port
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles one connection from its first message to its end."""
        link = Link(reader, writer)
        link.send(self._hello())
        hello = await self._receive_hello(link)
        if hello is None:
            logs.event(
                logging.WARNING, "No hello from peer", peer=link.peer_address
            )
            await link.close()
            return
        pinger = asyncio.create_task(self._ping(link))
        try:
            if hello.role == "sidecar":
                await self._fleet.serve(link, hello)
        finally:
            pinger.cancel()
            await link.close()

    async def _receive_hello(self, link: Link) -> Hello | None:
        try:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                first = await anext(link.messages(), None)
        except TimeoutError:
            return None
        return first if isinstance(first, Hello) else None

    async def _ping(self, link: Link) -> None:
        sequence = 0
        while True:
            sequence += 1
            now_ms = int(self._clock.monotonic() * 1000)
            link.send(Ping(sequence, self.revision, now_ms))
            await asyncio.sleep(PING_INTERVAL_S)

    def _hello(self) -> Hello:
        return Hello(
            process_id=self._settings.process_id,
            role="entry",
            zone=self._settings.zone,
            incarnation=self._incarnation,
            revision=self.revision,
        )

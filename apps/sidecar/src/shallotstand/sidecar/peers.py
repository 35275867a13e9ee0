"""Connections of the sidecar to entries and controllers."""

import asyncio
import contextlib
import random

from absl import logging
from shallotstand.core import logs
from shallotstand.core.activity import Activity
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.link.link import Link
from shallotstand.link.messages import (
    Cancel,
    Crash,
    Hello,
    Load,
    Ping,
    Submit,
    Usage,
    UsageAck,
)
from shallotstand.settings.options import Host
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.outbox import Outbox
from shallotstand.sidecar.runner import Runner
from shallotstand.sidecar.settings import SidecarSettings
from shallotstand.sidecar.usage_log import UsageLog

PING_INTERVAL_S = 1.0
USAGE_INTERVAL_S = 5.0
# A peer that says nothing for this long is taken for dead; three lost pings
# alone could be a pause of its event loop.
SILENCE_LIMIT_S = 10.0
_RECONNECT_MIN_S = 0.2
_RECONNECT_MAX_S = 5.0


class Peers:
    """Keeps one connection to every entry and controller it hears of.

    Attributes:
      activity: Requests that run on the endpoints.
      revision: Highest configuration revision that any peer named.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        incarnation: str,
        endpoints_by_name: dict[str, LocalEndpoint],
        runner: Runner,
        usage_log: UsageLog,
        clock: Clock,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._endpoints_by_name = endpoints_by_name
        self._runner = runner
        self._usage_log = usage_log
        self._clock = clock
        self._rng = random.Random()
        self._links_by_address: dict[Host, Link] = {}
        self._tasks_by_address: dict[Host, asyncio.Task] = {}
        self.activity = Activity()
        self.revision = 0

    def dial(self, address: Host) -> None:
        """Starts the task that keeps the connection to an address."""
        if address not in self._tasks_by_address:
            self._tasks_by_address[address] = asyncio.create_task(
                self._keep_connected(address)
            )

    def on_report(self, endpoint: LocalEndpoint, ended: bool) -> None:
        """Tells every peer of an endpoint's state."""
        fingerprints = endpoint.running_fingerprints()
        for link in self._links_by_address.values():
            link.send(Load((endpoint.report,)))
            if ended:
                link.send(
                    Crash(endpoint.name, endpoint.incarnation, fingerprints)
                )

    async def close(self) -> None:
        """Closes every connection."""
        for task in self._tasks_by_address.values():
            task.cancel()
        await asyncio.gather(
            *self._tasks_by_address.values(), return_exceptions=True
        )

    async def _keep_connected(self, address: Host) -> None:
        delay = _RECONNECT_MIN_S
        while True:
            link = await Link.connect(address.host, address.port)
            if isinstance(link, Failure):
                delay = min(delay * 2, _RECONNECT_MAX_S)
            else:
                delay = _RECONNECT_MIN_S
                await self._converse(address, link)
            # Jitter keeps the sidecars of a zone from coming back together.
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.5))

    async def _converse(self, address: Host, link: Link) -> None:
        """Exchanges messages with a peer until the connection ends."""
        link.send(self._hello())
        self._links_by_address[address] = link
        outbox = Outbox(link)
        requests: dict[int, asyncio.Task] = {}
        helpers = [
            asyncio.create_task(outbox.run()),
            asyncio.create_task(self._ping(link)),
            asyncio.create_task(self._report_usage(link)),
        ]
        try:
            await self._read(link, outbox, requests)
        finally:
            del self._links_by_address[address]
            for task in (*helpers, *requests.values()):
                task.cancel()
            await asyncio.gather(
                *helpers, *requests.values(), return_exceptions=True
            )
            await link.close()
            logs.event(
                logging.INFO,
                "Connection ended",
                peer=str(address),
                reason=link.failure.reason if link.failure else "closed",
            )

    async def _read(
        self, link: Link, outbox: Outbox, requests: dict[int, asyncio.Task]
    ) -> None:
        messages = link.messages()
        with contextlib.suppress(StopAsyncIteration, TimeoutError):
            while True:
                async with asyncio.timeout(SILENCE_LIMIT_S):
                    message = await anext(messages)
                match message:
                    case Submit(submitted):
                        for request in submitted:
                            task = asyncio.create_task(
                                self._serve(request, outbox)
                            )
                            requests[request.stream] = task
                            task.add_done_callback(
                                lambda _, stream=request.stream: requests.pop(
                                    stream, None
                                )
                            )
                    case Cancel(streams):
                        for stream in streams:
                            if task := requests.get(stream):
                                task.cancel()
                            outbox.drop(stream)
                    case Ping():
                        self.revision = max(self.revision, message.revision)
                    case Hello():
                        for peer in message.roster:
                            self.dial(Host(peer.host, peer.port))
                    case UsageAck(source, number):
                        if source == self._usage_log.source:
                            self._usage_log.acknowledge(number)

    async def _serve(self, request, outbox: Outbox) -> None:
        self.activity.begin()
        try:
            await self._runner.run(request, outbox)
        finally:
            self.activity.end()

    async def _ping(self, link: Link) -> None:
        sequence = 0
        while True:
            sequence += 1
            link.send(
                Ping(
                    sequence,
                    self.revision,
                    int(self._clock.monotonic() * 1000),
                )
            )
            await asyncio.sleep(PING_INTERVAL_S)

    async def _report_usage(self, link: Link) -> None:
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            if records := self._usage_log.pending():
                link.send(Usage(self._usage_log.source, records))

    def _hello(self) -> Hello:
        return Hello(
            process_id=self._settings.process_id,
            role="sidecar",
            zone=self._settings.zone,
            incarnation=self._incarnation,
            revision=self.revision,
            endpoints=tuple(
                endpoint.info(self._settings.zone)
                for endpoint in self._endpoints_by_name.values()
            ),
        )

"""What the sidecar does for each entry and controller."""

import asyncio

from shallotstand.core.activity import Activity
from shallotstand.link.messages import (
    Cancel,
    Crash,
    Hello,
    Load,
    Request,
    Submit,
    Usage,
    UsageAck,
)
from shallotstand.link.node import Node, PeerConnection
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.outbox import Outbox
from shallotstand.sidecar.runner import Runner
from shallotstand.sidecar.usage_log import UsageLog

USAGE_INTERVAL_S = 5.0


class PeerSession:
    """Requests that one peer sent and whose answers it gets."""

    def __init__(
        self, peer: PeerConnection, runner: Runner, activity: Activity
    ):
        self._runner = runner
        self._activity = activity
        self._outbox = Outbox(peer.link)
        self._tasks_by_stream: dict[int, asyncio.Task] = {}
        self._sender = asyncio.create_task(self._outbox.run())

    def submit(self, requests: tuple[Request, ...]) -> None:
        """Starts a task for each request."""
        for request in requests:
            task = asyncio.create_task(self._serve(request))
            self._tasks_by_stream[request.stream] = task

    def cancel(self, streams: tuple[int, ...]) -> None:
        """Cancels requests whose callers have gone."""
        for stream in streams:
            if task := self._tasks_by_stream.get(stream):
                task.cancel()
            self._outbox.drop(stream)

    async def close(self) -> None:
        """Cancels whatever still runs."""
        tasks = [self._sender, *self._tasks_by_stream.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, request: Request) -> None:
        self._activity.begin()
        try:
            await self._runner.run(request, self._outbox)
        finally:
            self._activity.end()
            del self._tasks_by_stream[request.stream]


class PeerService:
    """Serves every peer of the sidecar.

    Attributes:
      activity: Requests that run on the endpoints.
      node: Connections to the peers; set right after construction.
    """

    node: Node

    def __init__(
        self,
        zone: str,
        endpoints_by_name: dict[str, LocalEndpoint],
        runner: Runner,
        usage_log: UsageLog,
    ):
        self.activity = Activity()
        self._zone = zone
        self._endpoints_by_name = endpoints_by_name
        self._runner = runner
        self._usage_log = usage_log

    def describe(self, hello: Hello) -> Hello:
        """Adds the endpoints to the Hello message."""
        return hello._replace(
            endpoints=tuple(
                endpoint.info(self._zone)
                for endpoint in self._endpoints_by_name.values()
            )
        )

    async def serve(self, peer: PeerConnection) -> None:
        """Handles one peer's messages until its connection ends."""
        session = PeerSession(peer, self._runner, self.activity)
        try:
            async for message in peer.messages():
                match message:
                    case Submit(requests):
                        session.submit(requests)
                    case Cancel(streams):
                        session.cancel(streams)
                    case UsageAck(self._usage_log.source, number):
                        self._usage_log.acknowledge(number)
                self.node.revision = max(self.node.revision, peer.revision)
        finally:
            await session.close()

    def on_report(self, endpoint: LocalEndpoint, crash: Crash | None) -> None:
        """Tells the entries of an endpoint's state."""
        self.node.broadcast(Load((endpoint.report,)), "entry")
        if crash is not None:
            self.node.broadcast(crash, "entry")

    async def report_usage(self) -> None:
        """Sends records that are not stored to the controllers, forever."""
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            if records := self._usage_log.pending():
                usage = Usage(self._usage_log.source, records)
                self.node.broadcast(usage, "controller")

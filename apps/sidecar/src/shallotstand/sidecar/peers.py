"""What the sidecar does for each entry and controller."""

import asyncio
from collections.abc import Callable

from shallotstand.core.activity import Activity
from shallotstand.link.messages import (
    Cancel,
    Crash,
    Hello,
    Load,
    Request,
    SampleAsk,
    SampleOffer,
    SampleRelease,
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
        self,
        peer: PeerConnection,
        runner: Runner,
        activity: Activity,
        on_orphan: Callable[[Request], None],
    ):
        """Initializes the session.

        Args:
          peer: Connection to the peer.
          runner: Runs the requests.
          activity: Counts the requests.
          on_orphan: Called with a retained request that ended after the
            connection did.
        """
        self._on_orphan = on_orphan
        self._closed = False
        self._retained: set[asyncio.Task] = set()
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
            if request.retain:
                self._retained.add(task)
                task.add_done_callback(self._retained.discard)

    def cancel(self, streams: tuple[int, ...]) -> None:
        """Cancels requests whose callers have gone."""
        for stream in streams:
            if task := self._tasks_by_stream.get(stream):
                task.cancel()
            self._outbox.drop(stream)

    async def close(self) -> None:
        """Cancels whatever still runs, except what the sidecar retains."""
        self._closed = True
        running = set(self._tasks_by_stream.values()) - self._retained
        tasks = [self._sender, *running]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, request: Request) -> None:
        self._activity.begin()
        try:
            await self._runner.run(request, self._outbox)
            if self._closed:
                self._on_orphan(request)
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
        self._askers_by_job: dict[str, set[PeerConnection]] = {}

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
        session = PeerSession(
            peer, self._runner, self.activity, self._offer_orphan
        )
        try:
            async for message in peer.messages():
                match message:
                    case Submit(requests):
                        session.submit(requests)
                    case Cancel(streams):
                        session.cancel(streams)
                    case SampleAsk(job):
                        self._askers_by_job.setdefault(job, set()).add(peer)
                        for offer in self._runner.retained.offers(job):
                            peer.send(offer)
                    case SampleRelease(job, step):
                        self._runner.retained.release(job, step)
                    case UsageAck(self._usage_log.source, number):
                        self._usage_log.acknowledge(number)
                self.node.revision = max(self.node.revision, peer.revision)
        finally:
            for askers in self._askers_by_job.values():
                askers.discard(peer)
            await session.close()

    def _offer_orphan(self, request: Request) -> None:
        """Offers a sample whose asker is gone to the job's new holder."""
        sample = self._runner.retained.get(request.request_id)
        if sample is None:
            return
        job = request.request_id.partition("/")[0]
        for peer in self._askers_by_job.get(job, ()):
            peer.send(SampleOffer((sample,)))

    def on_report(self, endpoint: LocalEndpoint, ended: bool) -> None:
        """Tells the entries of an endpoint's state."""
        self.node.broadcast(Load((endpoint.report,)), "entry")
        if ended:
            crash = Crash(
                endpoint.name,
                endpoint.incarnation,
                endpoint.running_fingerprints(),
            )
            self.node.broadcast(crash, "entry")

    async def report_usage(self) -> None:
        """Sends records that are not stored to the controllers, forever."""
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            if records := self._usage_log.pending():
                usage = Usage(self._usage_log.source, records)
                self.node.broadcast(usage, "controller")

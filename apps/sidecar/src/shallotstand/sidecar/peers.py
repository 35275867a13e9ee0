"""Serves the entries and controllers that are connected to a sidecar."""

import asyncio
import contextlib
from collections.abc import Callable

from absl import logging
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.in_progress_counter import InProgressCounter
from shallotstand.link.messages import (
    Cancel,
    Frame,
    Hello,
    Order,
    Request,
    SampleAsk,
    SampleOffer,
    SampleRelease,
    Submit,
    Usage,
    UsageAck,
)
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.load_reporter import LoadReporter
from shallotstand.sidecar.order_gate import OrderGate
from shallotstand.sidecar.outbox import Outbox
from shallotstand.sidecar.runner import Runner
from shallotstand.sidecar.usage_log import UsageLog

USAGE_INTERVAL_S = 5.0
# About 1 MB, well below the limit of a message. After a long outage of the
# store, further records are sent when these are acknowledged.
MAX_USAGE_RECORDS = 8192


class PeerSession:
    """Runs the requests of one peer and sends their answers to the peer."""

    def __init__(
        self,
        peer: PeerConnection,
        runner: Runner,
        in_progress: InProgressCounter,
        on_orphan: Callable[[Request], None],
    ):
        """Initializes the session.

        Args:
          peer: Connection to the peer.
          runner: Runs the requests.
          in_progress: Counts the requests.
          on_orphan: Called with a retained request that ended after the
            connection was closed.
        """
        self._on_orphan = on_orphan
        self._retained_tasks: set[asyncio.Task] = set()
        self._runner = runner
        self._in_progress = in_progress
        self._link = peer.link
        self._outbox = Outbox(peer.link)
        self._tasks_by_stream: dict[int, asyncio.Task] = {}
        self._sender = asyncio.create_task(self._outbox.run())
        self._sender.add_done_callback(self._on_sender_ended)

    def submit(self, requests: tuple[Request, ...]) -> None:
        """Starts a task for each request."""
        for request in requests:
            task = asyncio.create_task(self._serve(request))
            self._tasks_by_stream[request.stream] = task
            if request.retain:
                self._retained_tasks.add(task)
                task.add_done_callback(self._retained_tasks.discard)

    def cancel(self, streams: tuple[int, ...]) -> None:
        """Cancels requests whose callers have disconnected."""
        for stream in streams:
            if task := self._tasks_by_stream.get(stream):
                task.cancel()
            self._outbox.drop(stream)

    async def close(self) -> None:
        """Cancels all running requests except retained ones."""
        self._outbox.is_closed = True
        running = set(self._tasks_by_stream.values()) - self._retained_tasks
        tasks = [self._sender, *running]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, request: Request) -> None:
        self._in_progress.begin()
        try:
            await self._runner.run(request, self._outbox)
            if self._outbox.is_closed:
                self._on_orphan(request)
        except Exception as error:
            # Without an end frame the caller would wait forever.
            logs.event(logging.ERROR, "Request failed", error=repr(error))
            self._outbox.add_end(
                Frame(
                    request.stream,
                    end=True,
                    code=ResultCode.INTERNAL,
                    reason=type(error).__name__,
                )
            )
        finally:
            self._in_progress.end()
            del self._tasks_by_stream[request.stream]

    def _on_sender_ended(self, sender: asyncio.Task) -> None:
        """Closes the link if sending answers failed."""
        if not sender.cancelled() and sender.exception() is not None:
            error = repr(sender.exception())
            logs.event(logging.ERROR, "Sending of answers failed", error=error)
            self._link.abort(ResultCode.INTERNAL, error)


class PeerHandler:
    """Serves every peer of the sidecar.

    Attributes:
      in_progress: Counts the requests that run on the endpoints.
      load_reporter: Sends load reports of the endpoints to the peers.
    """

    def __init__(
        self,
        zone: str,
        endpoints_by_name: dict[str, LocalEndpoint],
        runner: Runner,
        usage_log: UsageLog,
        order_gate: OrderGate | None = None,
    ):
        self.in_progress = InProgressCounter()
        self.load_reporter = LoadReporter(endpoints_by_name)
        self._order_gate = order_gate
        self._order_tasks: set[asyncio.Task] = set()
        self._usage_acknowledged = asyncio.Event()
        # For each usage source, the controller that acknowledged the last
        # Usage message.
        self._collector_by_source: dict[str, str] = {}
        self._zone = zone
        self._endpoints_by_name = endpoints_by_name
        self._runner = runner
        self._usage_log = usage_log
        self._requesters_by_job: dict[str, set[PeerConnection]] = {}

    @property
    def peer_connections(self) -> PeerConnectionManager:
        """Connections to the peers; set right after construction."""
        return self.load_reporter.peer_connections

    @peer_connections.setter
    def peer_connections(self, peer_connections: PeerConnectionManager) -> None:
        self.load_reporter.peer_connections = peer_connections

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
            peer, self._runner, self.in_progress, self._offer_orphaned_sample
        )
        self.load_reporter.send_initial_reports(peer)
        try:
            async for message in peer.messages():
                match message:
                    case Submit(requests):
                        session.submit(requests)
                    case Cancel(streams):
                        session.cancel(streams)
                    case SampleAsk(job):
                        self._requesters_by_job.setdefault(job, set()).add(peer)
                        for offer in self._runner.retained.offers(job):
                            peer.send(offer)
                    case SampleRelease(job, step):
                        self._runner.retained.release(job, step)
                    case Order():
                        self._handle_order(message, peer)
                    case UsageAck(source, number):
                        self._collector_by_source[source] = (
                            peer.hello.process_id
                        )
                        self._usage_log.acknowledge(source, number)
                        self._usage_acknowledged.set()
                self.peer_connections.highest_config_revision = max(
                    self.peer_connections.highest_config_revision,
                    peer.highest_config_revision,
                )
        finally:
            for requesters in self._requesters_by_job.values():
                requesters.discard(peer)
            await session.close()

    def _offer_orphaned_sample(self, request: Request) -> None:
        """Offers the job's new holder a sample whose requester disconnected.

        The new holder is a peer that has asked for the job's samples.
        """
        sample = self._runner.retained.get(request.request_id)
        if sample is None:
            return
        job = request.request_id.partition("/")[0]
        for peer in self._requesters_by_job.get(job, ()):
            peer.send(SampleOffer((sample,)))

    def _handle_order(self, order: Order, peer: PeerConnection) -> None:
        """Starts a task for an order, which continues if the connection ends.

        The engine may already be executing the order, whose outcome is known
        only at its end.
        """
        if self._order_gate is None or peer.hello.role != "controller":
            return
        task = asyncio.create_task(self._execute_order(order, peer))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _execute_order(self, order: Order, peer: PeerConnection) -> None:
        peer.send(await self._order_gate.execute(order))

    def begin_shutdown(self) -> None:
        """Refuses new requests and reports the endpoints as leaving at once."""
        self._runner.is_accepting = False
        for endpoint in self._endpoints_by_name.values():
            endpoint.mark_leaving()
        self.load_reporter.broadcast_reports(*self._endpoints_by_name.values())

    async def send_usage_periodically(self) -> None:
        """Sends records that are not stored to the controllers, periodically.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            self.send_usage()

    async def flush_usage(self, timeout_s: float) -> bool:
        """Sends all records and waits until they are stored.

        Args:
          timeout_s: Longest wait in seconds.

        Returns:
          False if some records are not stored in time, or if records are
          pending and no controller is connected; the entries have copies.
        """
        if not self.peer_connections.peers("controller"):
            return not self._usage_log.pending()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._usage_log.pending():
                    self._usage_acknowledged.clear()
                    self.send_usage()
                    await self._usage_acknowledged.wait()
        return not self._usage_log.pending()

    def send_usage(self) -> None:
        """Sends the records that are not acknowledged.

        To save bandwidth, the records of a source are sent only to the
        controller that acknowledged the source last. They are sent to all
        controllers if that controller has not acknowledged the previous Usage
        message.
        """
        pending = self._usage_log.pending_by_source()
        for source, records in pending.items():
            usage = Usage(source, records[:MAX_USAGE_RECORDS])
            collector = self._collector_by_source.pop(source, "")
            if peer := self.peer_connections.connections_by_id.get(collector):
                peer.send(usage)
            else:
                self.peer_connections.broadcast(usage, "controller")

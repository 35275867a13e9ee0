"""Connections from sidecars and the endpoints that they serve."""

import asyncio
import collections
import itertools
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.entry.streams import AnswerStream
from shallotstand.link.codec import MAX_MESSAGE_BYTES
from shallotstand.link.messages import (
    Cancel,
    Chunks,
    Crash,
    EndpointInfo,
    EndpointLoad,
    Frame,
    Frames,
    Hello,
    Load,
    LoadSample,
    LoadSamples,
    Request,
    SampleAsk,
    SampleOffer,
    SampleRelease,
    Submit,
    UsageRecord,
)
from shallotstand.link.peer_connections import PeerConnection
from shallotstand.serving.prefix_index import PrefixIndex
from shallotstand.serving.routing import Candidate

# Upper bound for the fields of a request other than its body; paths and ids
# are short.
_REQUEST_OVERHEAD_BYTES = 16 * 1024
MAX_SUBMIT_BYTES = MAX_MESSAGE_BYTES - 2 * _REQUEST_OVERHEAD_BYTES


class RemoteEndpoint:
    """An endpoint behind a connected sidecar.

    Attributes:
      info: Description of the endpoint in the sidecar's Hello message.
      report: Last load report of the endpoint.
      in_flight: Number of requests of this entry that have not ended.
      in_flight_at_report: Value of `in_flight` when the last report arrived.
      incarnation: Identifier of the engine's run; empty while unknown.
    """

    def __init__(self, info: EndpointInfo, sidecar: "SidecarConnection"):
        self.info = info
        self.sidecar = sidecar
        self.report = EndpointLoad(info.name, version=info.version)
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.incarnation = info.incarnation

    @property
    def live_slots(self) -> int:
        """Number of requests that the endpoint can run; 0 unless it is live."""
        return self.report.slots if self.report.state == "live" else 0

    def update_from_sample(self, sample: LoadSample) -> None:
        """Updates the load from a sample of the last second."""
        _, running, queued, free_blocks = sample
        self.report = self.report._replace(
            running=running, queued=queued, free_blocks=free_blocks
        )
        self.in_flight_at_report = self.in_flight

    def update_from_report(self, report: EndpointLoad) -> None:
        """Replaces the load report and the engine's incarnation."""
        self.report = report
        self.incarnation = report.incarnation or self.incarnation
        self.in_flight_at_report = self.in_flight

    def candidate(self) -> Candidate:
        """Returns the endpoint as the router sees it."""
        return Candidate(
            name=self.info.name,
            zone=self.info.zone,
            state=self._state(),
            version=self.report.version,
            reported_requests=self.report.running + self.report.queued,
            in_flight=self.in_flight,
            in_flight_at_report=self.in_flight_at_report,
            slots=self.report.slots,
        )

    def _state(self) -> str:
        if self.sidecar.is_silent:
            return "suspected"
        state = self.sidecar.member_state(self.info.name)
        return self.report.state if state == "live" else state


class SidecarConnection:
    """One connection from a sidecar and the streams on it.

    Attributes:
      member_state: Returns the membership state of an endpoint.
    """

    def __init__(
        self,
        peer: PeerConnection,
        member_state: Callable[[str], str] = lambda _: "live",
    ):
        self.member_state = member_state
        self.hello = peer.hello
        self.endpoints_by_name = {
            info.name: RemoteEndpoint(info, self)
            for info in peer.hello.endpoints
        }
        self._endpoints = tuple(self.endpoints_by_name.values())
        self._peer = peer
        self._link = peer.link
        self._stream_numbers = itertools.count(1)
        self._streams_by_number: dict[int, AnswerStream] = {}
        self._requests_by_number: dict[int, Request] = {}
        self._unsent: list[Request] = []

    @property
    def is_silent(self) -> bool:
        """Whether the sidecar has missed its latest pings."""
        return self._peer.is_silent

    def open_stream(self, request: Request) -> AnswerStream | Failure:
        """Queues a request to be sent in the next turn of the event loop.

        Errors:
          NO_ENDPOINT: The connection is closed; nothing was sent.
        """
        if not self._link.is_open:
            return Failure(
                ResultCode.NO_ENDPOINT, "The sidecar is disconnected."
            )
        stream = AnswerStream(next(self._stream_numbers))
        self._streams_by_number[stream.number] = stream
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._submit)
        numbered = request._replace(stream=stream.number)
        self._unsent.append(numbered)
        self._requests_by_number[stream.number] = numbered
        return stream

    def close_stream(self, stream: AnswerStream) -> None:
        """Ends a stream and cancels its request unless it has ended."""
        if self._remove_stream(stream.number) is not None:
            self._cancel(stream.number)

    def cut_stream(
        self, stream: AnswerStream, code: ResultCode, reason: str
    ) -> None:
        """Ends a stream with a result code and cancels the request."""
        if self._remove_stream(stream.number) is not None:
            self._cancel(stream.number)
            stream.put(Frame(stream.number, end=True, code=code, reason=reason))

    def _submit(self) -> None:
        requests, self._unsent = self._unsent, []
        for batch in _split_by_size(requests):
            if not self._link.send(Submit(batch)):
                for request in batch:
                    self._end_stream(
                        request.stream,
                        ResultCode.NO_ENDPOINT,
                        "The sidecar is disconnected.",
                    )

    def _cancel(self, number: int) -> None:
        """Removes a request that is not sent yet, or cancels a sent one."""
        still_unsent = [r for r in self._unsent if r.stream != number]
        if len(still_unsent) == len(self._unsent):
            self._link.send(Cancel((number,)))
        self._unsent = still_unsent

    def _remove_stream(self, number: int) -> AnswerStream | None:
        self._requests_by_number.pop(number, None)
        return self._streams_by_number.pop(number, None)

    def send(self, message: SampleAsk | SampleRelease) -> None:
        """Sends a message about retained samples to the sidecar."""
        self._link.send(message)

    async def handle_messages(self, fleet: "Fleet") -> None:
        """Handles the sidecar's messages until the connection ends."""
        async for message in self._peer.messages():
            match message:
                case Chunks(chunks):
                    for chunk in chunks:
                        if stream := self._streams_by_number.get(chunk.stream):
                            stream.put(chunk)
                case Frames(frames):
                    for frame in frames:
                        self._handle_frame(frame, fleet)
                case Load(endpoints):
                    for report in endpoints:
                        self._handle_report(report, fleet)
                case LoadSamples():
                    self._handle_load_samples(message, fleet)
                case Crash():
                    fleet.on_crash(message)
                case SampleOffer():
                    fleet.on_samples(message)

    def presumed_crashes(self) -> list[Crash]:
        """Returns a Crash message for each endpoint that had running requests.

        The messages assume that every endpoint of the sidecar crashed.
        """
        unsent = {request.stream for request in self._unsent}
        requests_by_endpoint: dict[str, list[Request]] = {}
        for number, request in self._requests_by_number.items():
            if number not in unsent and request.fingerprint:
                running = requests_by_endpoint.setdefault(request.endpoint, [])
                running.append(request)
        return [
            Crash(
                name,
                self.endpoints_by_name[name].incarnation,
                tuple({r.fingerprint for r in requests}),
                tuple({r.fingerprint for r in requests if r.suspect}),
            )
            for name, requests in requests_by_endpoint.items()
        ]

    def end_all_streams(self) -> None:
        """Ends every stream after the connection was lost."""
        for number in list(self._streams_by_number):
            self._end_stream(
                number,
                ResultCode.LINK_LOST,
                "The connection to the sidecar was lost.",
            )

    def _handle_frame(self, frame: Frame, fleet: "Fleet") -> None:
        stream = self._streams_by_number.get(frame.stream)
        if stream is None:
            return  # sent before the sidecar received the Cancel message
        if frame.end:
            if frame.record:
                record = self._usage_record(frame)
                fleet.on_usage(frame.source, record)
            self._remove_stream(frame.stream)
        stream.put(frame)

    def _usage_record(self, frame: Frame) -> UsageRecord:
        """Returns the usage record that the sidecar wrote for an answer."""
        request = self._requests_by_number[frame.stream]
        return UsageRecord(
            number=frame.record,
            account=request.account,
            service=self.endpoints_by_name[request.endpoint].info.service,
            window=frame.window,
            prompt_tokens=frame.prompt_tokens,
            completion_tokens=frame.completion_tokens,
            request_id=request.request_id,
        )

    def _handle_report(self, report: EndpointLoad, fleet: "Fleet") -> None:
        endpoint = self.endpoints_by_name.get(report.name)
        if endpoint is not None:
            before = endpoint.live_slots
            endpoint.update_from_report(report)
            fleet.on_report(report)
            fleet.update_slots(
                endpoint.info.service, endpoint.live_slots - before
            )

    def _handle_load_samples(
        self, message: LoadSamples, fleet: "Fleet"
    ) -> None:
        for sample in message.samples:
            if sample.index < len(self._endpoints):
                self._endpoints[sample.index].update_from_sample(sample)
        names = [endpoint.info.name for endpoint in self._endpoints]
        added = zip(message.added_indexes, message.added, strict=False)
        for index, block in added:
            if index < len(names):
                fleet.on_cache_events(names[index], (block,), ())
        evicted = zip(message.evicted_indexes, message.evicted, strict=False)
        for index, block in evicted:
            if index < len(names):
                fleet.on_cache_events(names[index], (), (block,))

    def _end_stream(self, number: int, code: ResultCode, reason: str) -> None:
        stream = self._remove_stream(number)
        if stream is not None:
            stream.put(Frame(number, end=True, code=code, reason=reason))


class FleetCallbacks(NamedTuple):
    """Callbacks of the fleet, and the prefix index that it updates.

    Attributes:
      on_capacity: Called as on_capacity(service, slots) when the number of
        requests that a service can run changes.
      on_crash: Called as on_crash(message) with a sidecar's Crash message.
      on_lost_endpoint: Called as on_lost_endpoint(message), with a Crash
        message, for each endpoint that had running requests when its
        sidecar was lost.
      index: Index that is updated with the endpoints' prefix caches.
      on_samples: Called as on_samples(message) with a SampleOffer message.
      on_usage: Called as on_usage(source, record) at the end of an answer
        that is billed.
      on_connected: Called as on_connected(hello) when a sidecar connects.
      on_disconnected: Called as on_disconnected(hello) when the last
        connection of a sidecar has ended.
      on_report: Called as on_report(message) with each load report of an
        endpoint.
      member_state: Returns the membership state of an endpoint.
    """

    on_capacity: Callable[[str, int], None]
    on_crash: Callable[[Crash], None]
    on_lost_endpoint: Callable[[Crash], None] = lambda _: None
    index: PrefixIndex | None = None
    on_samples: Callable[[SampleOffer], None] = lambda _: None
    on_usage: Callable[[str, UsageRecord], None] = lambda *_: None
    on_connected: Callable[[Hello], None] = lambda _: None
    on_disconnected: Callable[[Hello], None] = lambda _: None
    on_report: Callable[[EndpointLoad], None] = lambda _: None
    member_state: Callable[[str], str] = lambda _: "live"


class Fleet:
    """All endpoints that are connected to this entry."""

    def __init__(self, callbacks: FleetCallbacks):
        self._callbacks = callbacks
        self._connections_by_id: dict[str, SidecarConnection] = {}
        # Updated with each change: iterating over thousands of endpoints for
        # each report or request took most of a core at 200 sidecars.
        self._endpoints_by_service: dict[str, dict[str, RemoteEndpoint]] = {}
        self._slots_by_service: collections.Counter[str] = collections.Counter()
        self._requested_jobs: set[str] = set()

    async def serve(self, peer: PeerConnection) -> None:
        """Handles a sidecar's connection until the connection ends."""
        connection = SidecarConnection(peer, self._callbacks.member_state)
        hello = peer.hello
        self._callbacks.on_connected(hello)
        self._connections_by_id[hello.process_id] = connection
        for name, endpoint in connection.endpoints_by_name.items():
            by_name = self._endpoints_by_service.setdefault(
                endpoint.info.service, {}
            )
            by_name[name] = endpoint
        for job in self._requested_jobs:
            connection.send(SampleAsk(job))
        try:
            await connection.handle_messages(self)
            # Not reached when this entry itself stops, as the endpoints then
            # keep running.
            for crash in connection.presumed_crashes():
                self._callbacks.on_lost_endpoint(crash)
        finally:
            if self._connections_by_id.get(hello.process_id) is connection:
                del self._connections_by_id[hello.process_id]
                self._callbacks.on_disconnected(hello)
            connection.end_all_streams()
            self._remove_endpoints(connection)

    def _remove_endpoints(self, connection: SidecarConnection) -> None:
        for name, endpoint in connection.endpoints_by_name.items():
            service = endpoint.info.service
            by_name = self._endpoints_by_service[service]
            # A newer connection of the sidecar may have replaced the endpoint.
            if by_name.get(name) is endpoint:
                del by_name[name]
            self.update_slots(service, -endpoint.live_slots)

    def endpoints(self, service: str) -> Mapping[str, RemoteEndpoint]:
        """Returns the connected endpoints of a service by name."""
        return self._endpoints_by_service.get(service, {})

    def request_samples(self, job: str) -> None:
        """Asks all sidecars for a job's retained samples.

        Sidecars that connect later are asked when they connect.
        """
        self._requested_jobs.add(job)
        for connection in self._connections_by_id.values():
            connection.send(SampleAsk(job))

    def release_samples(self, job: str, step: int) -> None:
        """Tells the sidecars to drop a job's samples up to a step."""
        for connection in self._connections_by_id.values():
            connection.send(SampleRelease(job, step))

    def on_samples(self, offer: SampleOffer) -> None:
        """Calls `on_samples` with retained samples."""
        self._callbacks.on_samples(offer)

    def on_usage(self, source: str, record: UsageRecord) -> None:
        """Calls `on_usage` with the usage record of an answer."""
        self._callbacks.on_usage(source, record)

    def on_report(self, report: EndpointLoad) -> None:
        """Calls `on_report` with the load report of an endpoint."""
        self._callbacks.on_report(report)

    def update_slots(self, service: str, change: int) -> None:
        """Updates the slots of a service and calls `on_capacity`."""
        if change:
            self._slots_by_service[service] += change
            slots = self._slots_by_service[service]
            self._callbacks.on_capacity(service, slots)

    def on_cache_events(
        self, endpoint: str, added: tuple[int, ...], evicted: tuple[int, ...]
    ) -> None:
        """Passes an endpoint's cache events to the prefix index."""
        if self._callbacks.index is not None:
            self._callbacks.index.receive_cache_events(endpoint, added, evicted)

    def on_crash(self, crash: Crash) -> None:
        """Calls `on_crash` after the crash of an endpoint."""
        if self._callbacks.index is not None:
            self._callbacks.index.forget_endpoint(crash.endpoint)
        self._callbacks.on_crash(crash)


def _split_by_size(requests: list[Request]) -> Iterator[tuple[Request, ...]]:
    """Splits requests so that no message exceeds the size limit of a link.

    An oversized message would close the link and cut every answer on it.
    """
    batch: list[Request] = []
    size = 0
    for request in requests:
        if batch and size + len(request.body) > MAX_SUBMIT_BYTES:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(request)
        size += len(request.body) + _REQUEST_OVERHEAD_BYTES
    if batch:
        yield tuple(batch)

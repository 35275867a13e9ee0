"""In-memory engines with scripted responses."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route, RouteKind, RouteTarget
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import (
    EndpointRequest,
    EndpointResponse,
    SelfReport,
    StreamEvent,
)
from shallotstand.dispatch.stream_origins import StreamOrigin

REFUSED = Failure(ResultCode.ENDPOINT_REFUSED, "full")
ANSWER_CUT = Failure(ResultCode.ANSWER_CUT, "reset")


class SentCall(NamedTuple):
    """A call that was sent to an endpoint."""

    endpoint: str
    request: EndpointRequest
    budget_s: float


class MemoryStream:
    """Implements `EventStream` over a list of events."""

    def __init__(
        self,
        events: list[StreamEvent | Failure | float],
        version: int | None,
        status: int = 200,
    ):
        """Creates a stream.

        Args:
          events: What it yields; a float is a pause in seconds.
          version: Weight version at the start of the stream.
          status: HTTP status; the body of another one than 200 is `error`.
        """
        self._events = events
        self.status = status
        self.headers: tuple[tuple[str, str], ...] = ()
        self.signature = "seal"
        self.version = version
        self.is_closed = False

    async def events(self) -> AsyncIterator[StreamEvent | Failure]:
        """Yields the events, with the pauses between them."""
        for event in self._events:
            if isinstance(event, float):
                await asyncio.sleep(event)
                continue
            yield event

    async def read_body(self) -> bytes | Failure:
        """Returns the body of an error response."""
        return b"error"

    def close(self) -> None:
        """Closes the stream."""
        self.is_closed = True


class MemoryEngines:
    """Implements `EndpointClient` with scripted responses.

    Attributes:
      sent: Calls in the order in which they were sent.
      answer: Returns the response to a call that is not streamed; a float
        is a delay in seconds before a response with the body `late`.
      stream: Returns the stream that a call opens.
      start_by_endpoint: Start that an endpoint reports, instead of that of its
        entry.
      leaving: Endpoints that report that they leave.
    """

    def __init__(self) -> None:
        self.sent: list[SentCall] = []
        self.answer: Callable[
            [SentCall], EndpointResponse | Failure | float
        ] = lambda sent: EndpointResponse(
            200, (), b"whole", f"seal-{sent.endpoint}"
        )
        self.stream: Callable[[SentCall], MemoryStream | Failure] = lambda _: (
            REFUSED
        )
        self.start_by_endpoint: dict[str, int | Failure] = {}
        self.leaving: set[str] = set()

    async def fetch_report(self, endpoint: Endpoint) -> SelfReport | Failure:
        """Returns what an endpoint reports."""
        started = self.start_by_endpoint.get(endpoint.id, endpoint.started_ms)
        if isinstance(started, Failure):
            return started
        return SelfReport(started, endpoint.id in self.leaving)

    async def send_request(
        self,
        endpoint: Endpoint,
        endpoint_request: EndpointRequest,
        budget_s: float,
    ) -> EndpointResponse | Failure:
        """Records a call and returns the scripted response."""
        sent = SentCall(endpoint.id, endpoint_request, budget_s)
        self.sent.append(sent)
        await asyncio.sleep(0)
        answer = self.answer(sent)
        if isinstance(answer, float):
            await asyncio.sleep(answer)
            return EndpointResponse(200, (), b"late", f"seal-{endpoint.id}")
        return answer

    async def open_stream(
        self,
        endpoint: Endpoint,
        endpoint_request: EndpointRequest,
        budget_s: float,
        open_timeout_s: float | None = None,
    ) -> MemoryStream | Failure:
        """Records a call and returns the scripted stream."""
        del open_timeout_s  # Scripted streams open immediately.
        sent = SentCall(endpoint.id, endpoint_request, budget_s)
        self.sent.append(sent)
        await asyncio.sleep(0)
        return self.stream(sent)


def numbered_events(first: int, last: int) -> list[StreamEvent]:
    """Returns events numbered from `first` to `last`."""
    return [
        StreamEvent(number, f"text {number}", None, b"")
        for number in range(first, last + 1)
    ]


class MemoryStreamOrigins:
    """Implements `StreamOrigins` in memory: the best endpoint begins a stream.

    Attributes:
      origin_by_stream: Where the streams began.
    """

    def __init__(self) -> None:
        self.origin_by_stream: dict[str, StreamOrigin] = {}

    async def begin(
        self, stream_id: str, route: Route, candidates: Sequence[Endpoint]
    ) -> StreamOrigin | Failure:
        """Chooses the origin of the first candidate."""
        del route  # Any service will do.
        origin = StreamOrigin.from_endpoint(candidates[0])
        self.origin_by_stream[stream_id] = origin
        return origin

    async def find(
        self, stream_id: str, route: Route
    ) -> StreamOrigin | Failure:
        """Returns where a stream began, if it is known."""
        del route
        return self.origin_by_stream.get(stream_id) or Failure(
            ResultCode.STREAM_ORIGIN_UNKNOWN, "unknown stream"
        )


def make_route(name: str = "r", **fields: object) -> Route:
    """Returns a route of idempotent requests to the service `engines`."""
    return Route(
        **{
            "name": name,
            "host": "h",
            "path_prefix": "/",
            "kind": RouteKind.IDEMPOTENT,
            "targets": (RouteTarget("engines", 1.0),),
            "timeout_s": 1.0,
            "objective_s": 0.2,
            "priority": 0,
            "max_attempts": 3,
            "is_public": True,
            "is_resumable": False,
            "results_due_s": 5.0,
            "item_ttl_s": 30.0,
            "is_single_version": False,
            **fields,
        }
    )


def make_endpoint(name: str, **fields: object) -> Endpoint:
    """Returns an endpoint of the service `engines`."""
    return Endpoint(
        **{
            "id": name,
            "service": "engines",
            "address": "127.0.0.1:1",
            "zone": "zone-a",
            "slots": 2,
            "is_leaving": False,
            "started_ms": 1,
            "version_by_model": {"model": 1},
            **fields,
        }
    )

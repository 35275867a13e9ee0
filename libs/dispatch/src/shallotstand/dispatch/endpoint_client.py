"""Requests, responses and streams exchanged with endpoints."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint import Endpoint


class CallerRequest(NamedTuple):
    """A request as received from a caller.

    Attributes:
      method: HTTP method.
      target: Path and query, unmodified.
      path: Path without the query.
      host: Host that selects the route.
      headers: End-to-end headers that may be forwarded to an endpoint.
      body: Content.
      request_id: The caller's identifier of the request.
      key: API key of the caller; empty if none was sent.
      deadline_s: Seconds that the caller waits; None if not stated.
      last_event_id: Event after which the stream resumes; None to start with
        the first event.
      resumed_id: Identifier of the caller's request that brought the first
        event of the stream; empty if none was sent.
    """

    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    key: str
    deadline_s: float | None
    last_event_id: int | None = None
    resumed_id: str = ""


class EndpointRequest(NamedTuple):
    """A request to an endpoint.

    Attributes:
      method: HTTP method.
      target: Path and query.
      host: Host header.
      headers: End-to-end headers.
      body: Content.
      request_id: Identifier that the endpoint echoes.
      account: Client account on whose behalf it runs; None if there is none.
      is_repeatable: Whether it may run more than once.
      last_event_id: Event after which the stream resumes; None to start with
        the first event.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    account: str | None
    is_repeatable: bool
    last_event_id: int | None = None


class EndpointResponse(NamedTuple):
    """A complete response of an endpoint.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers.
      body: Content.
      signature: The endpoint's signature of the response; empty if it sent
        none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300


class StreamEvent(NamedTuple):
    """One event of a stream.

    Attributes:
      number: Event ID; increases by one with each event.
      data: Event data, without the weight version that it may carry.
      version: Version of the weights that generated this event and the ones
        after it; None if the event doesn't state one.
      raw: The event's bytes as received, including the blank line at its end.
    """

    number: int
    data: str
    version: int | None
    raw: bytes


class SelfReport(NamedTuple):
    """What an endpoint reports of itself.

    Attributes:
      started_ms: Time of its start in Unix milliseconds.
      is_leaving: Whether it leaves.
    """

    started_ms: int
    is_leaving: bool


class EventStream(Protocol):
    """An endpoint's streamed response.

    Attributes:
      status: HTTP status; events follow only if it is 200.
      headers: End-to-end headers.
      signature: The endpoint's signature; empty if it sent none.
      version: Version of the weights at the start; None if not stated.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    signature: str
    version: int | None

    def events(self) -> AsyncIterator[StreamEvent | Failure]:
        """Yields complete events.

        Ends without a Failure only if the stream is complete.

        Errors:
          ANSWER_CUT: The stream was cut off.
          ANSWER_TOO_LARGE: It goes on past the limit that its request states.
        """
        ...

    async def read_body(self) -> bytes | Failure:
        """Reads the whole content of a response that has no events."""
        ...

    def close(self) -> None:
        """Closes the stream; the endpoint then stops generating."""
        ...


class EndpointObserver(Protocol):
    """Learns what responses and connections tell of their endpoints."""

    def record_response(
        self, endpoint_id: str, requests_per_s: float | None, sent_at: float
    ) -> None:
        """Records what a response says about the limit of its endpoint.

        Args:
          endpoint_id: The endpoint.
          requests_per_s: Requests per second that it accepts from all
            processes together; None if it states no limit.
          sent_at: Monotonic time in seconds at which the request was sent.
        """
        ...

    def record_leaving(self, endpoint: Endpoint, source: str) -> None:
        """Records that an endpoint has said that it leaves.

        Args:
          endpoint: The endpoint.
          source: Kind of the response that said so, for the log.
        """
        ...

    def record_refused_connection(self, endpoint_id: str) -> None:
        """Records that nothing listens at the address of an endpoint."""
        ...


class EndpointClient(Protocol):
    """Sends requests to endpoints.

    A Failure with a code in `NOT_RUN_RANGE` means that the request neither ran
    nor will run. After any other Failure, it may have run.
    """

    async def fetch_report(self, endpoint: Endpoint) -> SelfReport | Failure:
        """Asks an endpoint to report of itself.

        Errors:
          ENDPOINT_REFUSED: Another endpoint has the address.
          Others: The endpoint does not tell.
        """
        ...

    async def send_request(
        self,
        endpoint: Endpoint,
        endpoint_request: EndpointRequest,
        budget_s: float,
    ) -> EndpointResponse | Failure:
        """Sends a request and reads the complete response.

        Errors:
          ENDPOINT_REFUSED: Not run; the request was refused or not sent.
          ANSWER_CUT: The connection broke; the request may have run.
          ENDPOINT_BAD_ANSWER: The response is invalid.
          ANSWER_TOO_LARGE: The response exceeds a limit on its size.
          ENDPOINT_TIMEOUT: No complete response within the budget.
        """
        ...

    async def open_stream(
        self,
        endpoint: Endpoint,
        endpoint_request: EndpointRequest,
        budget_s: float,
        open_timeout_s: float | None = None,
    ) -> EventStream | Failure:
        """Sends a request whose response is a stream.

        Args:
          endpoint: The endpoint to which it is sent.
          endpoint_request: The request.
          budget_s: Seconds that the endpoint may work on it.
          open_timeout_s: Seconds within which the response has to start;
            `budget_s` if None.

        Errors:
          The same as for `send_request`.
        """
        ...

"""Forwards streams to callers and resumes them on other endpoints."""

import asyncio
from collections.abc import AsyncIterator

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route
from shallotstand.dispatch.crash_guard import UNGUARDED, CrashGuard
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import (
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
    EventStream,
    StreamEvent,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import at_limit_failure, log_cut_off
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.dispatch.stream_origins import StreamOrigin, StreamOrigins

# Longest gap between events before a stream resumes on another endpoint. A
# stream that can't resume has until its deadline, since a slow endpoint may
# still complete it.
STALL_TIMEOUT_S = 2.0
# Longest wait for an endpoint with the software that began a stream, and the
# interval at which one is looked for. Callers give up after two seconds without
# an event.
RESUME_WAIT_S = 1.5
RESUME_RETRY_S = 0.05
# Longest wait for the new entry of an endpoint that has started again. An entry
# comes within a moment, unless this process does not hear of it at all.
RESTART_WAIT_S = 0.5
# Status of a response whose content is a stream of events.
_STREAM_STATUS = 200


class CallerStream:
    """A stream to one caller, which several endpoints may serve in turn.

    Attributes:
      status: HTTP status of the first endpoint's response.
      headers: End-to-end headers of that response; they don't change when the
        stream is resumed.
      first_started_at: Monotonic time in seconds of the first attempt that an
        endpoint accepted; None if none did.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        client: EndpointClient,
        clock: Clock,
        route: Route,
        endpoint_request: EndpointRequest,
        deadline: float,
        origins: StreamOrigins,
        start_check: StartCheck,
        resumed_id: str = "",
        guard: CrashGuard = UNGUARDED,
    ):
        """Creates a stream, which `open` starts.

        Args:
          endpoint_registry: The endpoints.
          client: Sends requests to endpoints.
          clock: Source of time.
          route: Route of the request.
          endpoint_request: The request to endpoints.
          deadline: Monotonic time in seconds at which the stream ends.
          origins: Where streams begin.
          start_check: Checks which software an endpoint runs.
          resumed_id: Identifier of the caller's request that brought the first
            event; empty if the stream begins, or if the caller names none.
          guard: Keeps the request from crashing endpoint after endpoint.
        """
        self._origins = origins
        self._start_check = start_check
        self._resumed_id = resumed_id
        self._origin: StreamOrigin | None = None
        self._deadline = deadline
        self._guard = guard
        self._endpoint_registry = endpoint_registry
        self._client = client
        self._clock = clock
        self._route = route
        self._endpoint_request = endpoint_request
        self._endpoint: Endpoint | None = None
        self._stream: EventStream | None = None
        self._attempt_started_at = 0.0
        # Identifiers and starts of the endpoints that got the request.
        self._tried_starts: set[tuple[str, int]] = set()
        self._has_met_restart = False
        self._next_event_number: int | None = (
            None
            if endpoint_request.last_event_id is None
            else endpoint_request.last_event_id + 1
        )
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.first_started_at: float | None = None

    @property
    def endpoint_id(self) -> str:
        """Identifier of the endpoint that serves it; empty if none does."""
        return "" if self._endpoint is None else self._endpoint.id

    @property
    def software_version(self) -> str:
        """Software version at which it may go on; empty if any."""
        return "" if self._origin is None else self._origin.software_version

    async def open(self) -> EndpointResponse | Failure | None:
        """Opens the stream on an endpoint.

        Returns:
          None if events follow; otherwise the response for the caller, which
          an endpoint gave instead of a stream, or the reason for none.

        Errors:
          NO_ENDPOINT, ENDPOINTS_AT_LIMIT, ENDPOINT_REFUSED: Not run; no
            endpoint accepted the request.
          STREAM_ORIGIN_UNKNOWN: Not run; the stream goes on, and it is not
            known where it began.
          ANSWER_CUT, ENDPOINT_BAD_ANSWER, ENDPOINT_TIMEOUT: The request may
            have run.
        """
        if self._route.is_resumable and self._has_begun:
            origin = await self._origins.find(self._resumed_id, self._route)
            if isinstance(origin, Failure):
                return origin
            self._origin = origin
            await self._wait_for_endpoints()
        not_run = Failure(ResultCode.NO_ENDPOINT, "No endpoint is available.")
        ran: EndpointResponse | Failure | None = None
        while self._attempts_left:
            if ran is not None and not self._guard.may_send_again():
                break
            endpoint = await self._choose_endpoint()
            if isinstance(endpoint, Failure):
                return endpoint if ran is None else ran
            if endpoint is None and await self._wait_for_new_entry():
                continue
            if endpoint is None:
                limit_wait_s = self._limit_wait_s()
                if limit_wait_s:
                    not_run = at_limit_failure(limit_wait_s)
                break
            outcome = await self._attempt(endpoint)
            if isinstance(outcome, Failure) and is_not_run(outcome.code):
                not_run = outcome
                continue
            if isinstance(outcome, EndpointResponse):
                self._guard.record_response()
            if not isinstance(outcome, Failure | EndpointResponse):
                self.status, self.headers = outcome.status, outcome.headers
                return None
            ran = outcome
            is_final = isinstance(outcome, EndpointResponse) and (
                outcome.status < 500
            )
            if is_final or not self._route.is_repeatable:
                break
        return not_run if ran is None else ran

    async def events(self) -> AsyncIterator[StreamEvent | Failure]:
        """Yields the events in order, without gaps or duplicates."""
        while self._stream is not None:
            failure = None
            events = aiter(self._stream.events())
            while (event := await self._next_event(events)) is not None:
                if isinstance(event, Failure):
                    failure = event
                    break
                if (
                    self._next_event_number is not None
                    and event.number != self._next_event_number
                ):
                    failure = Failure(
                        ResultCode.ENDPOINT_BAD_ANSWER,
                        f"Event {event.number} received instead of event "
                        f"{self._next_event_number}.",
                    )
                    break
                self._next_event_number = event.number + 1
                self._endpoint_registry.record_event(self._endpoint)
                yield event
            self._endpoint_registry.record_outcome(
                self._endpoint, has_failed=failure is not None
            )
            if failure is None:
                self._guard.record_response()
                self.close()
                return
            self._record_cut(self._endpoint, failure)
            self._endpoint_registry.record_failure(
                self._endpoint, failure.reason, self._attempt_started_at
            )
            self.close()
            resume_failure = await self._resume(failure)
            if isinstance(resume_failure, Failure):
                yield resume_failure
                return

    def _record_cut(self, endpoint: Endpoint, failure: Failure) -> None:
        if failure.code == ResultCode.ANSWER_CUT:
            log_cut_off(self._endpoint_request, endpoint, failure)
            self._guard.record_cut(endpoint)

    async def _next_event(
        self, events: AsyncIterator[StreamEvent | Failure]
    ) -> StreamEvent | Failure | None:
        """Returns the next event; None after the last one.

        Bytes that complete no event do not extend the time.
        """
        timeout_s = self._deadline - self._clock.monotonic()
        if self._next_endpoints():
            timeout_s = min(timeout_s, STALL_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                return await anext(events, None)
        except TimeoutError:
            return Failure(
                ResultCode.ENDPOINT_TIMEOUT,
                f"No event for {timeout_s:.1f} s.",
            )

    def close(self) -> None:
        """Closes the stream from the current endpoint."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._endpoint is not None:
            self._endpoint_registry.record_request_end(self._endpoint)
            self._endpoint = None

    def _limit_wait_s(self) -> float:
        return self._endpoint_registry.limit_wait_s(
            (target.service for target in self._route.targets),
            self._route.allowed_regions,
        )

    @property
    def _has_begun(self) -> bool:
        """Whether the caller has got an event, of this attempt or before."""
        return self._next_event_number is not None

    async def _choose_endpoint(self) -> Endpoint | Failure | None:
        """Returns the endpoint that can serve the stream best.

        Returns:
          None if there is none now.

        Errors:
          STREAM_ORIGIN_UNKNOWN: The stream could not be continued later.
        """
        candidates = self._candidates()
        if candidates or not self._route.is_resumable or self._has_begun:
            origin = self._origin
        else:
            # Other software may begin the stream.
            origin = self._origin = None
            candidates = self._candidates()
        if not candidates:
            return None
        if self._route.is_resumable and origin is None:
            origin = await self._origins.begin(
                self._endpoint_request.request_id, self._route, candidates
            )
            if isinstance(origin, Failure):
                return origin
            self._origin = origin
        return next(filter(self._may_serve, candidates), None)

    @property
    def _attempts_left(self) -> int:
        return max(1, self._route.max_attempts) - len(self._tried_starts)

    def _may_serve(self, endpoint: Endpoint) -> bool:
        if (endpoint.id, endpoint.started_ms) in self._tried_starts:
            return False
        return self._origin is None or (
            StreamOrigin.from_endpoint(endpoint) == self._origin
        )

    def _candidates(self) -> list[Endpoint]:
        return [
            endpoint
            for target in self._route.targets
            for endpoint in self._endpoint_registry.candidates(
                target.service,
                is_usable=self._may_serve,
                regions=self._route.allowed_regions,
            )
        ]

    async def _attempt(
        self, endpoint: Endpoint
    ) -> EventStream | EndpointResponse | Failure:
        """Sends the request to an endpoint.

        Returns:
          The open stream; the whole response if it is none; or a Failure.
        """
        self._tried_starts.add((endpoint.id, endpoint.started_ms))
        self._endpoint_registry.record_request_start(endpoint)
        self._endpoint = endpoint
        now = self._attempt_started_at = self._clock.monotonic()
        endpoint_request = self._endpoint_request
        if self._next_event_number is not None:
            endpoint_request = endpoint_request._replace(
                last_event_id=self._next_event_number - 1
            )
        try:
            outcome = await self._client.open_stream(
                endpoint, endpoint_request, self._deadline - now
            )
            if not isinstance(outcome, Failure):
                self._stream = outcome
                outcome = await self._read_if_no_stream(outcome)
            if not isinstance(outcome, Failure | EndpointResponse):
                outcome = await self._check_start(endpoint) or outcome
        except BaseException:
            self.close()
            raise
        self._record_attempt(endpoint, outcome)
        if isinstance(outcome, Failure | EndpointResponse):
            self.close()
        return outcome

    async def _check_start(self, endpoint: Endpoint) -> Failure | None:
        """Returns a Failure if the stream could not go on where it begins."""
        if not self._route.is_resumable:
            return None
        failure = await self._start_check.find_restart(endpoint)
        self._has_met_restart |= failure is not None
        return failure

    async def _read_if_no_stream(
        self, stream: EventStream
    ) -> EventStream | EndpointResponse | Failure:
        """Returns the whole response instead if it is not a stream.

        Its content is never part of a stream to the caller, which may already
        have got events of another endpoint.
        """
        if stream.status == _STREAM_STATUS:
            return stream
        try:
            async with asyncio.timeout(
                self._deadline - self._clock.monotonic()
            ):
                body = await stream.read_body()
        except TimeoutError:
            return Failure(
                ResultCode.ENDPOINT_TIMEOUT, "No complete response in time."
            )
        if isinstance(body, Failure):
            return body
        return EndpointResponse(
            stream.status, stream.headers, body, stream.signature
        )

    def _record_attempt(
        self,
        endpoint: Endpoint,
        outcome: EventStream | EndpointResponse | Failure,
    ) -> None:
        """Records what the start of an attempt tells of its endpoint."""
        if isinstance(outcome, Failure) and is_not_run(outcome.code):
            self._endpoint_registry.record_refusal(endpoint)
            return
        if isinstance(outcome, Failure):
            self._record_cut(endpoint, outcome)
            self._endpoint_registry.record_failure(
                endpoint, outcome.reason, self._attempt_started_at
            )
            self._endpoint_registry.record_outcome(endpoint, has_failed=True)
            return
        if self.first_started_at is None:
            self.first_started_at = self._attempt_started_at
        self._endpoint_registry.record_acceptance(endpoint)
        if isinstance(outcome, EndpointResponse):
            self._endpoint_registry.record_outcome(
                endpoint, has_failed=outcome.status >= 500
            )

    @property
    def _may_resume(self) -> bool:
        return (
            self._route.is_resumable
            and self._guard.may_send_again()
            and self._attempts_left > 0
            and self._clock.monotonic() < self._deadline
        )

    def _next_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints on which the stream may resume now."""
        return self._candidates() if self._may_resume else []

    async def _wait_for_new_entry(self) -> bool:
        """Waits for the new entry of an endpoint that has started again.

        Returns:
          Whether an endpoint may serve the stream now.
        """
        return self._has_met_restart and bool(
            await self._wait_for_endpoints(RESTART_WAIT_S)
        )

    async def _wait_for_endpoints(
        self, wait_s: float = RESUME_WAIT_S
    ) -> list[Endpoint]:
        """Waits until the stream may resume; returns the endpoints then."""
        waits_until = self._clock.monotonic() + wait_s
        while not (endpoints := self._next_endpoints()):
            if not self._may_resume or not self._has_untried_endpoint():
                return []
            if self._clock.monotonic() >= waits_until:
                return []
            await asyncio.sleep(RESUME_RETRY_S)
        return endpoints

    def _has_untried_endpoint(self) -> bool:
        """Returns whether an endpoint may serve the stream after a wait."""
        return self._has_met_restart or any(
            self._may_serve(endpoint)
            for target in self._route.targets
            for endpoint in self._endpoint_registry.active(
                target.service, self._route.allowed_regions
            )
        )

    async def _resume(self, failure: Failure) -> Failure | None:
        logs.event(
            logging.INFO,
            "Stream resumes elsewhere"
            if self._route.is_resumable
            else "Stream cut off",
            request=self._endpoint_request.request_id,
            next_event=self._next_event_number,
            software_version=self.software_version,
            reason=failure.reason,
        )
        while endpoints := await self._wait_for_endpoints():
            outcome = await self._attempt(endpoints[0])
            if not isinstance(outcome, Failure | EndpointResponse):
                return None
            logs.event(
                logging.INFO,
                "Stream not resumed",
                request=self._endpoint_request.request_id,
                next_event=self._next_event_number,
                reason=outcome.reason
                if isinstance(outcome, Failure)
                else f"status {outcome.status}",
            )
        return failure

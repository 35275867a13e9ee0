"""Serves requests with unary responses, with retries and hedging."""

import asyncio
import random
from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route
from shallotstand.dispatch.cost_tracking import RequestCost, traits_of
from shallotstand.dispatch.crash_guard import UNGUARDED, CrashGuard
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import (
    CallerRequest,
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.fingerprint import fingerprint
from shallotstand.dispatch.request_costs import RequestCosts

# A request that has no response yet after this share of the latency objective
# is also sent to a second endpoint. An average request has finished by then; if
# this one has not, its endpoint may have stalled.
HEDGE_DELAY_SHARE = 0.45
# Time reserved for forwarding the response before the caller's deadline.
RESPONSE_MARGIN_S = 0.02
# Delay before a request that no endpoint accepted is tried again.
SATURATED_RETRY_S = 0.03
# A request that no endpoint accepts fails after this share of the latency
# objective, so that the caller still has time to try another gateway.
MAX_WAIT_SHARE = 0.2
# Longest time after which a caller is told to come back. Another gateway may
# have a larger share of the endpoints' limits.
MAX_RETRY_AFTER_S = 1.0
# Maximum refusals of one request by endpoints; each costs a connection.
MAX_REFUSALS = 8

_NO_ENDPOINT = Failure(
    ResultCode.NO_ENDPOINT, "No endpoint can accept the request now."
)


class ServeResult(NamedTuple):
    """The result of serving a request.

    Attributes:
      outcome: The endpoint's response, or the reason why there is none.
      started_ago_s: Seconds since the first attempt that may have run was
        sent; None if no attempt can have run.
      failed_attempt_count: Number of responses of endpoints with a status of
        500. Other errors say nothing of the request: an endpoint that starts,
        ends or runs out of time also responds with one.
    """

    outcome: EndpointResponse | Failure
    started_ago_s: float | None
    failed_attempt_count: int


class _Attempt(NamedTuple):
    endpoint: Endpoint
    started_at: float


class UnaryDispatcher:
    """Sends requests with unary responses to endpoints.

    Attributes:
      costs: What requests have cost.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        client: EndpointClient,
        clock: Clock,
        rng: random.Random,
    ):
        self._endpoint_registry = endpoint_registry
        self._client = client
        self._clock = clock
        self._rng = rng
        self.costs = RequestCosts(clock)

    async def serve(
        self,
        route: Route,
        endpoint_request: EndpointRequest,
        started_at: float,
        budget_s: float,
        guard: CrashGuard = UNGUARDED,
    ) -> ServeResult:
        """Serves a request.

        Args:
          route: Its route.
          endpoint_request: The request to endpoints.
          started_at: Monotonic time in seconds at which it arrived.
          budget_s: Seconds after `started_at` within which it has to be
            answered.
          guard: Keeps the request from crashing endpoint after endpoint.

        Returns:
          The result. A Failure with a code in `NOT_RUN_RANGE` means that no
          endpoint ran or will run the request.
        """
        service = self._choose_service(route)
        attempts = _RequestAttempts(
            self._endpoint_registry,
            self._client,
            self._clock,
            route,
            endpoint_request,
            guard,
            RequestCost(
                self.costs, traits_of(service, route, endpoint_request)
            ),
        )
        try:
            async with asyncio.timeout(
                started_at + budget_s - self._clock.monotonic()
            ):
                outcome = await attempts.run(
                    service, started_at, started_at + budget_s
                )
        except TimeoutError:
            outcome = attempts.timeout_failure()
        finally:
            attempts.cancel()
        took_s = self._clock.monotonic() - started_at
        _log_result(route, service, endpoint_request, attempts, outcome, took_s)
        first_started_at = attempts.first_started_at
        return ServeResult(
            outcome,
            None
            if first_started_at is None
            else self._clock.monotonic() - first_started_at,
            attempts.failed_attempt_count,
        )

    def _choose_service(self, route: Route) -> str:
        usable = [
            target
            for target in route.targets
            if self._endpoint_registry.has_endpoints(
                target.service, route.allowed_regions
            )
        ] or route.targets
        return self._rng.choices(
            [target.service for target in usable],
            [target.weight for target in usable],
        )[0]


def build_endpoint_request(
    request: CallerRequest, route: Route, account: str | None
) -> EndpointRequest:
    """Builds the request to an endpoint from a caller's request."""
    return EndpointRequest(
        request.method,
        request.target,
        request.host,
        request.headers,
        request.body,
        request.request_id,
        account,
        route.is_repeatable,
        request.last_event_id,
    )


def at_limit_failure(limit_wait_s: float) -> Failure:
    """Returns the outcome of a request that no endpoint's limit allows now.

    Args:
      limit_wait_s: Seconds until a limit allows a request of this process.
    """
    return Failure(
        ResultCode.ENDPOINTS_AT_LIMIT,
        "All endpoints get as many requests as they accept.",
        retry_after_s=min(MAX_RETRY_AFTER_S, limit_wait_s),
    )


def log_cut_off(
    endpoint_request: EndpointRequest, endpoint: Endpoint, failure: Failure
) -> None:
    """Logs that a request broke off, with an identity that its copies share."""
    logs.event(
        logging.INFO,
        "Attempt cut off",
        request=endpoint_request.request_id,
        fingerprint=fingerprint(endpoint_request).hex(),
        endpoint=endpoint.id,
        started_ms=endpoint.started_ms,
        reason=failure.reason,
    )


class _RequestAttempts:
    """The attempts of one request, including retries and hedges."""

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        client: EndpointClient,
        clock: Clock,
        route: Route,
        endpoint_request: EndpointRequest,
        guard: CrashGuard,
        cost: RequestCost,
    ):
        self.cost = cost
        self._guard = guard
        self._endpoint_registry = endpoint_registry
        self._client = client
        self._clock = clock
        self._route = route
        self._endpoint_request = endpoint_request
        self._running: dict[asyncio.Task, _Attempt] = {}
        self.sent_to: set[str] = set()
        self._refused_by: set[str] = set()
        self._last_failure: Failure | None = None
        self._last_error_response: EndpointResponse | None = None
        self.send_count = 0
        self.refusal_count = 0
        self.failed_attempt_count = 0
        self.first_started_at: float | None = None

    async def run(
        self, service: str, started_at: float, deadline: float
    ) -> EndpointResponse | Failure:
        """Sends the request until there is a response for the caller."""
        hedge_delay_s = self._route.objective_s * HEDGE_DELAY_SHARE
        while True:
            may_send = self._may_send()
            if may_send and not self._running:
                may_send = self._start_attempt(service, deadline)
            if not self._running:
                result = await self._wait_for_endpoint(
                    service, started_at, may_send
                )
                if result is not None:
                    return result
                continue
            done, _ = await asyncio.wait(
                self._running,
                timeout=hedge_delay_s if self._may_hedge() else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._start_attempt(service, deadline)
                # At most one hedge is tried: a delay of `deadline` seconds
                # never passes before the request times out, since `deadline` is
                # a monotonic time.
                hedge_delay_s = deadline
                continue
            for task in done:
                response = self._handle_attempt_end(task)
                if response is not None:
                    return response

    def timeout_failure(self) -> Failure:
        """Returns the outcome of a request whose deadline has passed."""
        if self._may_have_run() or self._running:
            return Failure(
                ResultCode.ENDPOINT_TIMEOUT, "No response before the deadline."
            )
        return Failure(
            ResultCode.NO_ENDPOINT,
            "No endpoint was available before the deadline.",
        )

    def cancel(self) -> None:
        """Cancels the attempts that are still running."""
        for task, attempt in self._running.items():
            task.cancel()
            self._endpoint_registry.record_request_end(attempt.endpoint)
            self._update_first_started_at(attempt)
        self._running.clear()

    def _may_have_run(self) -> bool:
        return (
            self._last_failure is not None
            or self._last_error_response is not None
        )

    def _may_send(self) -> bool:
        if self.refusal_count >= MAX_REFUSALS:
            return False
        if self._may_have_run() and not self._route.is_repeatable:
            return False
        if self.send_count and not self._guard.may_send_again():
            return False
        return self.send_count < max(1, self._route.max_attempts)

    def _may_hedge(self) -> bool:
        return (
            self._route.is_repeatable
            and self._may_send()
            and len(self._running) == 1
        )

    def _start_attempt(self, service: str, deadline: float) -> bool:
        excluded = frozenset(self.sent_to | self._refused_by)
        candidates = self._endpoint_registry.candidates(
            service,
            excluded,
            regions=self._route.allowed_regions,
            expected_s=self.cost.expected_s,
        )
        if not candidates:
            return False
        endpoint = candidates[0]
        now = self._clock.monotonic()
        self.sent_to.add(endpoint.id)
        self.send_count += 1
        self._endpoint_registry.record_request_start(
            endpoint,
            expected_s=self.cost.expected_s
            * (self._endpoint_registry.seconds_per_unit(endpoint) or 1.0),
        )
        task = asyncio.ensure_future(
            self._client.send_request(
                endpoint,
                self._endpoint_request,
                deadline - now - RESPONSE_MARGIN_S,
            )
        )
        self._running[task] = _Attempt(endpoint, now)
        return True

    async def _wait_for_endpoint(
        self, service: str, started_at: float, may_send: bool
    ) -> EndpointResponse | Failure | None:
        """Waits before the next attempt unless the request has an outcome.

        Returns:
          The final outcome of the request; None to try again.
        """
        if may_send:
            return None
        if self._last_error_response is not None:
            return self._last_error_response
        if self._last_failure is not None:
            return self._last_failure
        regions = self._route.allowed_regions
        if not self._endpoint_registry.has_endpoints(service, regions):
            return _NO_ENDPOINT
        wait_left_s = (
            self._route.objective_s * MAX_WAIT_SHARE
            + started_at
            - self._clock.monotonic()
        )
        limit_wait_s = self._endpoint_registry.limit_wait_s((service,), regions)
        if limit_wait_s > max(0.0, wait_left_s):
            return at_limit_failure(limit_wait_s)
        if self.refusal_count >= MAX_REFUSALS or wait_left_s < 0:
            return _NO_ENDPOINT
        await asyncio.sleep(SATURATED_RETRY_S)
        self._refused_by.clear()
        return None

    def _handle_attempt_end(
        self, task: asyncio.Task
    ) -> EndpointResponse | None:
        """Records the outcome of an attempt.

        Returns:
          The response for the caller; None if there is none yet.
        """
        attempt = self._running.pop(task)
        endpoint = attempt.endpoint
        outcome = task.result()
        self._endpoint_registry.record_request_end(
            endpoint,
            leaves_connection=self._route.is_repeatable
            and isinstance(outcome, EndpointResponse),
        )
        if isinstance(outcome, Failure):
            if is_not_run(outcome.code):
                self.sent_to.discard(endpoint.id)
                self._refused_by.add(endpoint.id)
                self.send_count -= 1
                self.refusal_count += 1
                self._endpoint_registry.record_refusal(endpoint)
                return None
            self._update_first_started_at(attempt)
            self._last_failure = outcome
            if outcome.code == ResultCode.ANSWER_CUT:
                log_cut_off(self._endpoint_request, endpoint, outcome)
                self._guard.record_cut(endpoint)
            self._endpoint_registry.record_outcome(endpoint, has_failed=True)
            self._endpoint_registry.record_failure(
                endpoint, outcome.reason, attempt.started_at
            )
            return None
        self._guard.record_response()
        self._update_first_started_at(attempt)
        took_s = self._clock.monotonic() - attempt.started_at
        self._endpoint_registry.record_acceptance(endpoint)
        self._endpoint_registry.record_outcome(
            endpoint, has_failed=outcome.status >= 500
        )
        if outcome.status < 500:
            self.cost.record_success(self._endpoint_registry, endpoint, took_s)
            return outcome
        self._last_error_response = outcome
        self.failed_attempt_count += outcome.status == 500
        if self._running or (self._route.is_repeatable and self._may_send()):
            return None
        return outcome

    def _update_first_started_at(self, attempt: _Attempt) -> None:
        """Updates `first_started_at` with an attempt that may have run."""
        if (
            self.first_started_at is None
            or attempt.started_at < self.first_started_at
        ):
            self.first_started_at = attempt.started_at


def _log_result(
    route: Route,
    service: str,
    endpoint_request: EndpointRequest,
    attempts: _RequestAttempts,
    outcome: EndpointResponse | Failure,
    took_s: float,
) -> None:
    is_failure = isinstance(outcome, Failure)
    logs.event(
        logging.INFO,
        "Request ended",
        request=endpoint_request.request_id,
        route=route.name,
        service=service,
        account=endpoint_request.account,
        sends=attempts.send_count,
        refusals=attempts.refusal_count,
        endpoints=sorted(attempts.sent_to),
        took_s=round(took_s, 4),
        expected_s=round(attempts.cost.expected_s, 4),
        cost_samples=attempts.cost.estimate.sample_count
        if attempts.cost.estimate
        else 0,
        status=outcome.code_info.http_status if is_failure else outcome.status,
        code=int(outcome.code) if is_failure else 0,
        reason=outcome.reason if is_failure else "",
    )

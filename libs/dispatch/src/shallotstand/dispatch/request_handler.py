"""Admits callers' requests and dispatches them to endpoints."""

import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import (
    ClientAccount,
    Configuration,
    Route,
    missing_key_failure,
    unknown_key_failure,
)
from shallotstand.dispatch.cost_tracking import traits_of
from shallotstand.dispatch.crash_guard import CrashRecordGuard
from shallotstand.dispatch.crash_record import CrashRecord
from shallotstand.dispatch.endpoint_client import (
    CallerRequest,
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import (
    UnaryDispatcher,
    build_endpoint_request,
)
from shallotstand.dispatch.request_costs import RequestTraits
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.dispatch.stream_origins import StreamOrigins
from shallotstand.dispatch.streams import CallerStream
from shallotstand.dispatch.usage import UsageMeter

# A request may take this many times as long as usual at the slowest endpoint.
DURATION_MARGIN = 2.0
# Most characters of a path that a log line or an error quotes.
MAX_LOGGED_PATH = 80


class AdmittedRequest(NamedTuple):
    """The route and client account of an admitted request.

    They hold in one version of the configuration.

    Attributes:
      route: Its route.
      account: Client account on whose behalf it runs; None if there is none.
      config_version: Version of the configuration that admitted it.
    """

    route: Route
    account: ClientAccount | None
    config_version: int

    @property
    def account_name(self) -> str | None:
        """Name of the client account; None if there is none."""
        return self.account and self.account.name


class HostAndPath(NamedTuple):
    """What selects a route."""

    host: str
    path: str


class BatchOwner(NamedTuple):
    """Whose batches a request is about.

    Attributes:
      account_name: Name of the client account; empty for batches that were
        submitted without one.
      refusal: Answer to a caller that needs an account and has none, if this
        process has not heard of the batch; None for other callers.
    """

    account_name: str
    refusal: Failure | None


class RequestHandler:
    """Admits and serves the requests that one process receives.

    Attributes:
      configuration: The active configuration; None until the first arrives.
      is_configuration_current: Returns whether the store has lately confirmed
        that there is no newer configuration.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        client: EndpointClient,
        unary_dispatcher: UnaryDispatcher,
        usage_meter: UsageMeter,
        clock: Clock,
        crash_record: CrashRecord,
        stream_origins: StreamOrigins,
        start_check: StartCheck,
    ):
        self._start_check = start_check
        self._stream_origins = stream_origins
        self._crash_record = crash_record
        self._endpoint_registry = endpoint_registry
        self._client = client
        self._unary_dispatcher = unary_dispatcher
        self._usage_meter = usage_meter
        self._clock = clock
        self._stops_at = float("inf")
        self.configuration: Configuration | None = None
        self.is_configuration_current: Callable[[], bool] = lambda: True

    def begin_stop(self, stops_at: float) -> None:
        """Refuses requests from now on that would outlast the process.

        Args:
          stops_at: Monotonic time in seconds at which requests are cut off.
        """
        self._stops_at = stops_at

    def update_configuration(self, configuration: Configuration) -> None:
        """Activates a configuration unless a newer one is active."""
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return
        self.configuration = configuration
        self._endpoint_registry.cold.set_rates(
            configuration.cold_rate_by_service
        )
        logs.event(
            logging.INFO,
            "Configuration in force",
            version=configuration.version,
            before=previous.version if previous else 0,
            hosts=len(configuration.routes_by_host),
            accounts=len(configuration.accounts_by_name),
        )

    def admit(self, request: CallerRequest) -> AdmittedRequest | Failure:
        """Determines the route and the client account of a request.

        Errors:
          CONFIG_UNCONFIRMED: No configuration has been received yet, or the
            store does not confirm the one that refuses the request.
          ROUTE_UNKNOWN: No route matches the request.
          KEY_MISSING, KEY_UNKNOWN: The request carries no valid API key.
        """
        if self.configuration is None:
            return Failure(
                ResultCode.CONFIG_UNCONFIRMED,
                "No configuration has been received yet.",
            )
        route = self.configuration.match_route(request.host, request.path)
        if isinstance(route, Failure):
            return self._refuse_for_good(request, route)
        return self._authenticate(request, route)

    def check_batch_paths(
        self,
        request: CallerRequest,
        items: Iterable[HostAndPath],
        scorers: Iterable[HostAndPath],
    ) -> Failure | None:
        """Returns why a batch is refused whose items have these paths.

        Args:
          request: The request that submits the batch; it has been admitted.
          items: Hosts and paths of the items.
          scorers: Hosts and paths of the requests that score items.

        Errors:
          BAD_REQUEST: No route for batches has the path of an item, or the
            route of a scoring request has no unary responses. The latter may
            still be added.
          CONFIG_UNCONFIRMED: So it is, but the store does not confirm the
            configuration.
        """
        configuration = self.configuration
        problems = itertools.chain(
            (
                path
                for host, path in sorted(set(items))
                if isinstance(
                    configuration.match_batch_route(host, path), Failure
                )
            ),
            (
                path
                for host, path in sorted(set(scorers))
                if not isinstance(
                    configuration.match_route(host, path), Failure
                )
                and isinstance(
                    configuration.match_unary_route(host, path), Failure
                )
            ),
        )
        path = next(problems, None)
        if path is None:
            return None
        return self._refuse_for_good(
            request,
            Failure(
                ResultCode.BAD_REQUEST,
                f"The path {path[:MAX_LOGGED_PATH]} can't be that of an item "
                "or its scorer.",
            ),
        )

    def authenticate_batch_owner(
        self, request: CallerRequest
    ) -> BatchOwner | Failure:
        """Determines whose batches a request to the batch API is about.

        The key alone decides. The route of a batch may have changed or gone
        since the batch was accepted.

        Errors:
          CONFIG_UNCONFIRMED: No configuration has been received yet, or the
            store does not confirm the one that refuses the request.
          KEY_UNKNOWN: The API key belongs to no client account.
        """
        configuration = self.configuration
        if configuration is None:
            return Failure(
                ResultCode.CONFIG_UNCONFIRMED,
                "No configuration has been received yet.",
            )
        account = configuration.account_by_key.get(request.key)
        if account is not None:
            return BatchOwner(account.name, None)
        needs_no_key = not configuration.accounts_by_name
        if needs_no_key or configuration.has_public_batch_route(request.host):
            return BatchOwner("", None)
        if request.key:
            return self._refuse_for_good(request, unknown_key_failure())
        return BatchOwner("", missing_key_failure())

    def refuse_batch_request(
        self, request: CallerRequest, owner: BatchOwner, failure: Failure
    ) -> Failure:
        """Returns the refusal of a request about a batch.

        A caller without an account learns only that a key is required.
        """
        if failure.code == ResultCode.BATCH_UNKNOWN and owner.refusal:
            return self._refuse_for_good(request, owner.refusal)
        return self._refuse(request, failure)

    async def serve(
        self, request: CallerRequest, admitted: AdmittedRequest
    ) -> EndpointResponse | Failure:
        """Serves a request with a unary response."""
        route = admitted.route
        endpoint_request = build_endpoint_request(
            request, route, admitted.account_name
        )
        guard = CrashRecordGuard(self._crash_record, endpoint_request)
        budget_s = _budget_s(request, route)
        refusal = guard.refusal() or (
            self._is_stopping
            and self._stop_refusal(
                min(budget_s, self._expected_s(route, endpoint_request))
            )
        )
        if refusal:
            return self._refuse(request, refusal)
        result = await self._unary_dispatcher.serve(
            route,
            endpoint_request,
            self._clock.monotonic(),
            budget_s,
            guard,
        )
        if result.started_ago_s is not None and admitted.account is not None:
            self._usage_meter.count_request(
                admitted.account.name, result.started_ago_s
            )
        return result.outcome

    async def open_stream(
        self, request: CallerRequest, admitted: AdmittedRequest
    ) -> CallerStream | EndpointResponse | Failure:
        """Opens the stream of a request.

        The request is counted for the usage report only if an endpoint accepted
        it.

        Returns:
          A stream, which must be closed; the response of an endpoint that
          answered without a stream; or the reason why there is neither.
        """
        endpoint_request = build_endpoint_request(
            request, admitted.route, admitted.account_name
        )
        guard = CrashRecordGuard(self._crash_record, endpoint_request)
        budget_s = _budget_s(request, admitted.route)
        refusal = guard.refusal() or self._stop_refusal(budget_s)
        if refusal is not None:
            return self._refuse(request, refusal)
        stream = CallerStream(
            self._endpoint_registry,
            self._client,
            self._clock,
            admitted.route,
            endpoint_request,
            self._clock.monotonic() + budget_s,
            self._stream_origins,
            self._start_check,
            request.resumed_id,
            guard,
        )
        answer = await stream.open()
        _log_stream(request, stream, answer)
        if stream.first_started_at is not None and admitted.account is not None:
            elapsed_s = self._clock.monotonic() - stream.first_started_at
            self._usage_meter.count_request(admitted.account.name, elapsed_s)
        return stream if answer is None else answer

    @property
    def _is_stopping(self) -> bool:
        return self._stops_at < float("inf")

    def _stop_refusal(self, expected_s: float) -> Failure | None:
        """Returns the refusal of a request that would outlast the process."""
        if self._clock.monotonic() + expected_s <= self._stops_at:
            return None
        return Failure(
            ResultCode.SHUTTING_DOWN, "This process stops before the answer."
        )

    def _expected_s(
        self, route: Route, endpoint_request: EndpointRequest
    ) -> float:
        """Returns how long a request may take; infinite if unknown."""
        return DURATION_MARGIN * max(
            (
                self._slowest_s(
                    target.service,
                    traits_of(target.service, route, endpoint_request),
                )
                for target in route.targets
            ),
            default=float("inf"),
        )

    def _slowest_s(self, service: str, traits: RequestTraits) -> float:
        """Returns the expected seconds at the slowest endpoint."""
        estimate = self._unary_dispatcher.costs.estimate(traits)
        if estimate is None:
            return float("inf")
        return estimate.seconds * max(
            (
                self._endpoint_registry.seconds_per_unit(endpoint)
                or float("inf")
                for endpoint in self._endpoint_registry.active(service)
            ),
            default=float("inf"),
        )

    def _authenticate(
        self, request: CallerRequest, route: Route
    ) -> AdmittedRequest | Failure:
        account = self.configuration.authenticate(route, request.key)
        if isinstance(account, Failure):
            return self._refuse_for_good(request, account)
        return AdmittedRequest(
            route.for_account(account), account, self.configuration.version
        )

    def _refuse_for_good(
        self, request: CallerRequest, failure: Failure
    ) -> Failure:
        """Refuses a request that the configuration does not allow.

        A newer configuration may allow it, and the caller does not come back
        after such a refusal. So it is told to come back if this configuration
        may be out of date.
        """
        if not self.is_configuration_current():
            failure = Failure(
                ResultCode.CONFIG_UNCONFIRMED,
                f"The configuration may be out of date. {failure.reason}",
            )
        return self._refuse(request, failure)

    def _refuse(self, request: CallerRequest, failure: Failure) -> Failure:
        logs.event(
            logging.INFO,
            "Request refused",
            request=request.request_id,
            path=request.path[:MAX_LOGGED_PATH],
            code=int(failure.code),
            reason=failure.reason,
            config_version=self.configuration.version,
        )
        return failure


def _log_stream(
    request: CallerRequest,
    stream: CallerStream,
    answer: EndpointResponse | Failure | None,
) -> None:
    is_failure = isinstance(answer, Failure)
    logs.event(
        logging.INFO,
        "Stream opened" if answer is None else "Stream not opened",
        request=request.request_id,
        resumes=request.resumed_id,
        last_event=request.last_event_id,
        endpoint=stream.endpoint_id,
        software_version=stream.software_version,
        code=int(answer.code) if is_failure else 0,
        reason=answer.reason if is_failure else "",
    )


def _budget_s(request: CallerRequest, route: Route) -> float:
    if request.deadline_s is None:
        return route.timeout_s
    return min(request.deadline_s, route.timeout_s)

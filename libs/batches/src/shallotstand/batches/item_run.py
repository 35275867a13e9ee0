"""Runs one item: generates its text on engines, then has it scored."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging
from shallotstand.batches.event_interval import EventInterval
from shallotstand.batches.item_moves import (
    RunningItem,
    is_worth_moving,
    may_move,
)
from shallotstand.batches.item_scoring import score_item
from shallotstand.batches.progress import Progress
from shallotstand.batches.records import (
    Item,
    Result,
    ResultState,
    Submission,
)
from shallotstand.batches.size_estimate import SizeEstimate
from shallotstand.batches.text_assembly import TextAssembly
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Configuration, Route
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import (
    EndpointClient,
    EndpointRequest,
    EventStream,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import UnaryDispatcher
from shallotstand.dispatch.slots import ResourceRequest, SlotPool
from shallotstand.dispatch.start_check import StartCheck

# Longest wait for a slot of an engine with the software that began a text. The
# text is discarded then if engines with other software could start over.
SAME_SOFTWARE_WAIT_S = 1.5
# Status of a failed attempt. Other errors say nothing of the item: an engine
# that starts, ends or runs out of time also responds with one.
FAILED_STATUS = 500
# Status of an item that no engine can run.
IMPOSSIBLE_STATUS = 422
# Longest gap between events before the item resumes on another engine. An
# engine pauses while it loads weights; this covers two consecutive loads.
STALL_TIMEOUT_S = 2.0
# Longest wait for the first event; includes the wait for a slot at the engine.
FIRST_EVENT_TIMEOUT_S = 3.0
# Time limit for one attempt at an engine.
ATTEMPT_TIMEOUT_S = 20.0
# Delay before an item checks again for a route that the configuration lacks.
ROUTE_RETRY_DELAY_S = 0.2


class ItemRunDependencies(NamedTuple):
    """The components that all item runs of a process share.

    Attributes:
      endpoint_registry: The endpoints.
      slot_pool: Slots of the engines.
      client: Sends requests to endpoints.
      scoring_dispatcher: Sends scoring requests.
      size_estimate: Estimates how many events an item still needs.
      start_check: Checks which software endpoints run.
      configuration: Returns the current configuration; None until the first
        arrives.
      clock: Source of time.
    """

    endpoint_registry: EndpointRegistry
    slot_pool: SlotPool
    client: EndpointClient
    scoring_dispatcher: UnaryDispatcher
    size_estimate: SizeEstimate
    start_check: StartCheck
    configuration: Callable[[], Configuration | None]
    clock: Clock


class _ErrorResponse(NamedTuple):
    """A response that says that the item failed, or always will.

    It counts towards the `max_attempts` of the route.
    """

    status: int


class _Moved(NamedTuple):
    """The outcome of an attempt that ended because another engine is faster."""

    seconds_per_event: float


class ItemRun:
    """The run of one item, from its first attempt to its result."""

    def __init__(
        self,
        dependencies: ItemRunDependencies,
        submission: Submission,
        item: Item,
        progress: Progress,
        rank: tuple[float, ...],
    ):
        self._dependencies = dependencies
        self._submission = submission
        self._item = item
        self._rank = rank
        self._error_count = 0
        self._avoided_endpoint_id = ""
        self._last_endpoint_id = ""
        self._attempt_count = 0
        self._is_start_checked = False
        self._move_count = 0
        self._waited_s = 0.0
        self.progress = progress

    async def run(self) -> Result:
        """Runs the item until it has a result, without a time limit."""
        started = self._dependencies.clock.monotonic()
        lost_result = await self._generate()
        if lost_result is not None:
            return lost_result
        self._dependencies.size_estimate.record_item(
            self._item.size_hint, len(self.progress.events)
        )
        generated = self._dependencies.clock.monotonic()
        score = ""
        if self._item.scorer is not None:
            score = await score_item(
                self._item.scorer,
                self._dependencies.scoring_dispatcher,
                self._dependencies.configuration,
                self._dependencies.clock,
            )
            if score is None:
                return self._give_up("too many scorer errors")
        logs.event(
            logging.INFO,
            "Item done",
            batch=self._submission.id,
            item=self._item.id,
            group=self._item.group,
            endpoint=self._last_endpoint_id,
            size_hint=self._item.size_hint,
            events=len(self.progress.events),
            versions=self.progress.distinct_versions,
            attempts=self._attempt_count,
            waited_s=round(self._waited_s, 3),
            generated_s=round(generated - started, 3),
            scored_s=round(self._dependencies.clock.monotonic() - generated, 3),
        )
        return Result(
            self._item.id,
            ResultState.COMPLETED,
            self.progress.text,
            self.progress.distinct_versions,
            score,
        )

    async def _generate(self) -> Result | None:
        route = await self._wait_for_route()
        if not self.progress.is_usable(
            self._submission.min_version, route.is_single_version
        ):
            self.progress.clear()
        while not self.progress.is_complete:
            route = await self._wait_for_route()
            requested = self._dependencies.clock.monotonic()
            endpoint = await self._acquire_endpoint(route)
            started = self._dependencies.clock.monotonic()
            self._waited_s += started - requested
            self._attempt_count += 1
            self._last_endpoint_id = endpoint.id
            is_continued = bool(self.progress.events)
            is_whole = False
            try:
                outcome = await self._run_attempt(endpoint, route)
                is_whole = outcome is None
            finally:
                self._dependencies.endpoint_registry.record_request_end(
                    endpoint, leaves_connection=is_whole
                )
            lost_result = self._handle_outcome(
                endpoint, outcome, route, started
            )
            if lost_result is not None:
                return lost_result
            if outcome is not None and not is_continued:
                self._discard_text_of_unknown_software(endpoint)
        return None

    def _discard_text_of_unknown_software(self, endpoint: Endpoint) -> None:
        """Discards a text unless it is known which software began it.

        The endpoint may have started again before the text began.
        """
        if self.progress.events and not (
            self._is_start_checked
            or self._dependencies.start_check.is_list_current()
        ):
            self._log(
                "Item starts over at other software",
                endpoint,
                "the list of endpoints is out of date",
            )
            self.progress.clear()

    async def _acquire_endpoint(self, route: Route) -> Endpoint:
        """Waits for a slot of an engine that can continue the text.

        If there is none, the text is discarded and any engine may start over.
        """
        while True:
            request = self._resource_request(route)
            if request.software_version is None:
                return await self._dependencies.slot_pool.acquire(request)
            try:
                async with asyncio.timeout(SAME_SOFTWARE_WAIT_S):
                    return await self._dependencies.slot_pool.acquire(request)
            except TimeoutError:
                self._discard_text_if_stranded(request)

    def _discard_text_if_stranded(self, request: ResourceRequest) -> None:
        """Discards the text unless engines of its version alone are left."""
        software_versions = {
            endpoint.software_version
            for endpoint in self._dependencies.endpoint_registry.active(
                request.service, request.allowed_regions
            )
        }
        if software_versions - {request.software_version}:
            self._log(
                "Item starts over at other software",
                None,
                f"no slot at version {request.software_version}",
            )
            self.progress.clear()

    async def _run_attempt(
        self, endpoint: Endpoint, route: Route
    ) -> Failure | _ErrorResponse | _Moved | None:
        """Runs the item at an engine; returns None if its text is complete."""
        event_count = len(self.progress.events)
        stream = await self._dependencies.client.open_stream(
            endpoint,
            self._endpoint_request(event_count),
            ATTEMPT_TIMEOUT_S,
            FIRST_EVENT_TIMEOUT_S,
        )
        if isinstance(stream, Failure):
            return stream
        try:
            if stream.status in (FAILED_STATUS, IMPOSSIBLE_STATUS):
                return _ErrorResponse(stream.status)
            if stream.status != 200:
                return Failure(
                    ResultCode.ENDPOINT_ERROR, f"status {stream.status}"
                )
            failure = await self._check_start(endpoint, event_count > 0)
            if failure is not None:
                return failure
            return await self._read_events(endpoint, route, stream)
        finally:
            stream.close()

    async def _check_start(
        self, endpoint: Endpoint, is_continued: bool
    ) -> Failure | None:
        """Returns a Failure if an endpoint may run other software than listed.

        A text that begins at an endpoint of a current list needs no check.
        """
        start_check = self._dependencies.start_check
        self._is_start_checked = (
            is_continued or not start_check.is_list_current()
        )
        if not self._is_start_checked:
            return None
        return await start_check.find_restart(endpoint)

    async def _read_events(
        self, endpoint: Endpoint, route: Route, stream: EventStream
    ) -> Failure | _Moved | None:
        version = stream.version
        text = TextAssembly(
            self.progress,
            self._submission.min_version,
            route.is_single_version,
        )
        events = aiter(stream.events())
        timeout_s = FIRST_EVENT_TIMEOUT_S
        event_interval = EventInterval(self._dependencies.clock)
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    event = await anext(events, None)
            except TimeoutError:
                return Failure(
                    ResultCode.ENDPOINT_TIMEOUT,
                    "The engine sent no event in time.",
                )
            if event is None:
                self.progress.is_complete = True
                return None
            if isinstance(event, Failure):
                return text.end_with_failure(event)
            timeout_s = STALL_TIMEOUT_S
            version = event.version or version
            self.progress.software_version = endpoint.software_version
            failure = text.add(event, version)
            if failure is not None:
                return text.end_with_failure(failure)
            if not event_interval.event_count:
                self._dependencies.endpoint_registry.record_acceptance(
                    endpoint, self._item.model
                )
            event_interval.record_event()
            self._record_event(endpoint, version, event_interval)
            if self._should_move(endpoint, route, event_interval):
                return _Moved(event_interval.seconds_per_event)

    def _record_event(
        self, endpoint: Endpoint, version: int, event_interval: EventInterval
    ) -> None:
        if self._item.model:
            self._dependencies.endpoint_registry.record_model_version(
                endpoint, self._item.model, version
            )
        if event_interval.seconds_per_event:
            self._dependencies.endpoint_registry.record_success(
                endpoint, event_interval.seconds_per_event
            )

    def _should_move(
        self, endpoint: Endpoint, route: Route, event_interval: EventInterval
    ) -> bool:
        run = RunningItem(
            event_interval.event_count,
            event_interval.seconds_per_event,
            self._events_left(),
            self._age_s(),
            route.results_due_s,
            self._move_count,
        )
        return may_move(run) and is_worth_moving(
            run,
            self._dependencies.slot_pool.min_seconds_per_unit(
                self._resource_request(route), endpoint
            ),
        )

    def _events_left(self) -> float:
        """Returns the estimated number of events still to come."""
        return self._dependencies.size_estimate.events_left(
            self._item.size_hint, len(self.progress.events)
        )

    def _age_s(self) -> float:
        """Returns the seconds since the batch was submitted."""
        clock = self._dependencies.clock
        return clock.wall() - self._submission.submitted_at

    def _handle_outcome(
        self,
        endpoint: Endpoint,
        outcome: Failure | _ErrorResponse | _Moved | None,
        route: Route,
        started: float,
    ) -> Result | None:
        """Records the outcome of an attempt.

        Returns a result if the item is lost.
        """
        if outcome is None:
            self._dependencies.endpoint_registry.record_outcome(
                endpoint, has_failed=False
            )
            return None
        self._avoided_endpoint_id = endpoint.id
        if isinstance(outcome, _Moved):
            self._move_count += 1
            self._log(
                "Item moves to a faster engine",
                endpoint,
                outcome.seconds_per_event,
            )
            return None
        if isinstance(outcome, _ErrorResponse):
            self._error_count += 1
            self._dependencies.endpoint_registry.record_outcome(
                endpoint, has_failed=True
            )
            self._log(
                "Item failed at an engine",
                endpoint,
                outcome.status,
            )
            if (
                outcome.status == IMPOSSIBLE_STATUS
                or self._error_count >= route.max_attempts
            ):
                return self._give_up(f"status {outcome.status}")
            return None
        if is_not_run(outcome.code):
            self._dependencies.endpoint_registry.record_refusal(
                endpoint, self._item.model
            )
            return None
        if outcome.code != ResultCode.SAMPLE_STALE:
            self._dependencies.endpoint_registry.record_failure(
                endpoint, outcome.reason, started
            )
            self._dependencies.endpoint_registry.record_outcome(
                endpoint, has_failed=True
            )
        self._log("Item resumes elsewhere", endpoint, outcome.reason)
        return None

    async def _wait_for_route(self) -> Route:
        """Waits until the configuration has the item's route."""
        while True:
            configuration = self._dependencies.configuration()
            route = configuration.match_batch_route(
                self._submission.host, self._item.target
            )
            if not isinstance(route, Failure):
                return route.for_account(
                    configuration.accounts_by_name.get(self._submission.account)
                )
            await asyncio.sleep(ROUTE_RETRY_DELAY_S)

    def _resource_request(self, route: Route) -> ResourceRequest:
        return ResourceRequest(
            route.targets[0].service,
            self._item.model,
            self._submission.min_version,
            self._rank,
            self._avoided_endpoint_id,
            self.progress.software_version if self.progress.events else None,
            route.allowed_regions,
            self._events_left(),
        )

    def _endpoint_request(self, event_count: int) -> EndpointRequest:
        return EndpointRequest(
            "POST",
            self._item.target,
            self._submission.host,
            self._item.headers,
            self._item.body,
            self._item.id,
            self._submission.account,
            is_repeatable=True,
            last_event_id=event_count or None,
        )

    def _give_up(self, reason: str) -> Result:
        self._log("Item given up", None, reason)
        return Result(self._item.id, ResultState.LOST, "", (), "")

    def _log(
        self, message: str, endpoint: Endpoint | None, reason: object
    ) -> None:
        logs.event(
            logging.INFO,
            message,
            batch=self._submission.id,
            item=self._item.id,
            endpoint=endpoint and endpoint.id,
            events=len(self.progress.events),
            errors=self._error_count,
            reason=reason,
        )

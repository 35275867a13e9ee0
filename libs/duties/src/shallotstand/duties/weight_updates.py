"""Updates engines to the weight versions that trainers publish."""

import asyncio
import collections
import enum
import itertools
import math
from typing import NamedTuple, Protocol

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.duties.lease import DutyLease

# Maximum share of the engines that load weights at the same time, since
# concurrent loads slow each other down.
MAX_LOADING_SHARE = 0.4
POLL_INTERVAL_S = 0.15
# A trainer submits a step as it publishes a version, and the step may start on
# the version before. Engines refuse new requests while they load, so those that
# have that version load after the step's items have started; running requests
# go on during a load.
STEP_START_DELAY_S = 0.5
# Approximate duration of a load, after which another engine may load.
LOAD_DURATION_S = 0.92
# Delay before a busy engine is queried again.
BUSY_RETRY_S = 0.3
# An order is sent again if the engine has not registered the version this long
# after the load. Engines update their registration about once a second.
ACCEPTED_ORDER_TIMEOUT_S = 4.0
# Delay after an order was not accepted or an engine did not answer.
REFUSED_RETRY_S = 0.5
# Each model is kept up to date on at least this many engines, so that one of
# them may fail.
MIN_ENGINES_PER_MODEL = 2


class EngineReport(NamedTuple):
    """The state of an engine, as the engine reports it.

    Attributes:
      version_by_model: Loaded version of each model.
      orders: Number of orders accepted since the engine started.
      is_busy: Whether an order is in progress.
    """

    version_by_model: dict[str, int]
    orders: int
    is_busy: bool


class OrderOutcome(enum.Enum):
    """An engine's response to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds already"
    CONFLICT = "conflict"
    FENCED_OFF = "fenced off"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class VersionOrder(NamedTuple):
    """An order to load a version of a model.

    Attributes:
      model: The model.
      version: The version to load.
      fencing_token: Fencing token of the process that sends the order.
      expected_orders: Number of orders that the engine has to have accepted
        before this one.
      budget_s: Seconds after which the order must not arrive any more.
    """

    model: str
    version: int
    fencing_token: int
    expected_orders: int
    budget_s: float


class EngineControl(Protocol):
    """Fetches reports from engines and sends them orders."""

    async def fetch_report(self, endpoint: Endpoint) -> EngineReport | Failure:
        """Fetches an engine's state."""
        ...

    async def send_order(
        self, endpoint: Endpoint, order: VersionOrder
    ) -> OrderOutcome:
        """Sends an order to load weights.

        Requests that are running on the engine continue with the new version.
        """
        ...


class WeightUpdater:
    """Sends load orders to engines while this process holds the lease.

    Attributes:
      version_by_model: Newest published version of each model.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        control: EngineControl,
        lease: DutyLease,
        clock: Clock,
    ):
        self._endpoint_registry = endpoint_registry
        self._control = control
        self._lease = lease
        self._clock = clock
        self._tasks_by_endpoint: dict[str, asyncio.Task] = {}
        self._model_by_loading_engine: dict[str, str] = {}
        self._engines_by_model: dict[str, list[str]] = {}
        self._accepted_orders: dict[tuple[str, str], tuple[int, float]] = {}
        self._published_at_by_model: dict[str, float] = {}
        self.version_by_model: dict[str, int] = {}

    def receive_version(self, model: str, version: int) -> None:
        """Records a version that a trainer published."""
        if version > self.version_by_model.get(model, 0):
            self.version_by_model[model] = version
            self._published_at_by_model[model] = self._clock.monotonic()
            logs.event(
                logging.INFO,
                "Version named",
                model=model,
                version=version,
            )

    async def run(self) -> None:
        """Starts loads when they are due, until cancelled."""
        while True:
            if self._lease.is_held:
                self._start_loads()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _start_loads(self) -> None:
        engines = [
            endpoint
            for endpoint in self._endpoint_registry.by_id.values()
            if endpoint.version_by_model and not endpoint.is_leaving
        ]
        limit = max(1, math.floor(len(engines) * MAX_LOADING_SHARE + 0.5))
        self._assign_models(engines)
        for endpoint, model in self._due_loads(engines):
            if len(self._tasks_by_endpoint) >= limit:
                return
            if not self._may_load(endpoint, model):
                continue
            task = asyncio.create_task(self._load(endpoint, model))
            self._tasks_by_endpoint[endpoint.id] = task
            self._model_by_loading_engine[endpoint.id] = model
            task.add_done_callback(
                lambda done, endpoint_id=endpoint.id: self._handle_load_end(
                    endpoint_id, done
                )
            )

    def _assign_models(self, engines: list[Endpoint]) -> None:
        """Selects the engines on which each model is kept up to date.

        Each model gets an equal share of the engines. Engines with the fewest
        other models are preferred, then those already selected for the model.
        """
        available_engines = [
            endpoint
            for endpoint in engines
            if self._endpoint_registry.is_available(endpoint.id)
        ]
        models = sorted(
            set(
                itertools.chain.from_iterable(
                    endpoint.version_by_model for endpoint in engines
                )
            )
        )
        if not models:
            return
        engines_per_model = max(
            MIN_ENGINES_PER_MODEL, math.ceil(len(engines) / len(models))
        )
        model_count_by_engine = collections.Counter()
        for model in models:
            current_engines = self._engines_by_model.get(model, ())
            ranked = sorted(
                (
                    endpoint
                    for endpoint in available_engines
                    if model in endpoint.version_by_model
                ),
                key=lambda endpoint, model=model, current=current_engines: (
                    model_count_by_engine[endpoint.id],
                    endpoint.id not in current,
                    -endpoint.version_by_model[model],
                    endpoint.id,
                ),
            )
            chosen = [endpoint.id for endpoint in ranked[:engines_per_model]]
            self._engines_by_model[model] = chosen
            model_count_by_engine.update(chosen)

    def _due_loads(self, engines: list[Endpoint]) -> list[tuple[Endpoint, str]]:
        """Returns the loads that are due, the most outdated first."""
        due = [
            (endpoint, model)
            for endpoint in engines
            for model in self.version_by_model
            if endpoint.id in self._engines_by_model.get(model, ())
            and self._is_due(model, self._expected_version(endpoint, model))
        ]
        return sorted(
            due,
            key=lambda load: (
                self._endpoint_registry.model_version(load[0], load[1])
                - self.version_by_model[load[1]]
            ),
        )

    def _is_due(self, model: str, loaded_version: int) -> bool:
        """Returns whether an engine with a version should load the newest."""
        lag = self.version_by_model[model] - loaded_version
        if lag != 1:
            return lag > 1
        age_s = self._clock.monotonic() - self._published_at_by_model[model]
        return age_s >= STEP_START_DELAY_S

    def _expected_version(self, endpoint: Endpoint, model: str) -> int:
        """Returns the version that an engine has loaded or agreed to load."""
        known_version = self._endpoint_registry.model_version(endpoint, model)
        accepted_version, expires_at = self._accepted_orders.get(
            (endpoint.id, model), (0, 0.0)
        )
        if expires_at < self._clock.monotonic():
            return known_version
        return max(known_version, accepted_version)

    def _may_load(self, endpoint: Endpoint, model: str) -> bool:
        if endpoint.id in self._tasks_by_endpoint:
            return False
        loading_count = sum(
            other == model for other in self._model_by_loading_engine.values()
        )
        return loading_count < max(1, len(self._engines_by_model[model]) // 2)

    def _handle_load_end(self, endpoint_id: str, task: asyncio.Task) -> None:
        del self._tasks_by_endpoint[endpoint_id]
        del self._model_by_loading_engine[endpoint_id]
        if not task.cancelled() and task.exception() is not None:
            logs.event(
                logging.ERROR,
                "Order failed",
                endpoint=endpoint_id,
                error=repr(task.exception()),
            )

    async def _load(self, endpoint: Endpoint, model: str) -> None:
        """Orders an engine to load the newest version of a model."""
        started_at = self._clock.monotonic()
        report = await self._control.fetch_report(endpoint)
        if isinstance(report, Failure):
            self._endpoint_registry.record_failure(
                endpoint, report.reason, started_at
            )
            await asyncio.sleep(REFUSED_RETRY_S)
            return
        self._record_versions(endpoint, report)
        version = self.version_by_model[model]
        if report.is_busy or report.version_by_model.get(model, 0) >= version:
            await asyncio.sleep(BUSY_RETRY_S if report.is_busy else 0)
            return
        budget_s = self._lease.call_budget_s
        if budget_s <= 0:
            return
        order = VersionOrder(
            model, version, self._lease.fencing_token, report.orders, budget_s
        )
        outcome = await self._control.send_order(endpoint, order)
        logs.event(
            logging.INFO,
            "Order given",
            endpoint=endpoint.id,
            model=model,
            version=version,
            fence=order.fencing_token,
            expected_orders=order.expected_orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.FENCED_OFF:
            self._lease.step_down("An engine has seen a higher fencing token.")
        elif outcome is OrderOutcome.ALREADY_LOADED:
            self._endpoint_registry.record_model_version(
                endpoint, model, version
            )
        elif outcome is OrderOutcome.ACCEPTED:
            await asyncio.sleep(LOAD_DURATION_S)
            self._accepted_orders[endpoint.id, model] = (
                version,
                self._clock.monotonic() + ACCEPTED_ORDER_TIMEOUT_S,
            )
        else:
            # An order without a response may still take effect. The next one
            # has the same number of expected orders, so the engine accepts
            # only one of the two.
            await asyncio.sleep(REFUSED_RETRY_S)

    def _record_versions(
        self, endpoint: Endpoint, report: EngineReport
    ) -> None:
        for model, version in report.version_by_model.items():
            self._endpoint_registry.record_model_version(
                endpoint, model, version
            )

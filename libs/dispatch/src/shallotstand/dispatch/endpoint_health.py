"""Load and health of an endpoint, as one process observes them."""

import collections

from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.idle_connections import IdleConnections
from shallotstand.dispatch.request_shares import PeerShares
from shallotstand.dispatch.work_ledger import WorkLedger

# Assumed work of a request whose cost is not known yet.
DEFAULT_WORK_S = 0.1
# Backoff of an endpoint after a failure; doubles with each consecutive failure,
# up to the few seconds in which a crashed engine restarts.
INITIAL_FAILURE_BACKOFF_S = 0.4
MAX_FAILURE_BACKOFF_S = 3.0
# Backoff of an endpoint for one model after a refusal; doubles with each
# consecutive refusal. It is short because a slot soon becomes free, and because
# an engine that loads weights refuses the model for only about a second.
INITIAL_REFUSAL_BACKOFF_S = 0.1
MAX_REFUSAL_BACKOFF_S = 0.25
# While one request tries an endpoint after failures, others wait this long.
PROBE_BACKOFF_S = 1.0
# Weight of the newest measurement in the moving average of an endpoint's
# seconds per unit.
SECONDS_PER_UNIT_SMOOTHING = 0.3
# Weight of the newest outcome in the moving average of an endpoint's failure
# rate, and the time in which the rate halves if there is no new outcome.
FAILURE_RATE_SMOOTHING = 0.2
FAILURE_RATE_HALF_LIFE_S = 4.0


class EndpointHealth:
    """Load and health of an endpoint, observed from this process's requests."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.work = WorkLedger()
        self.connections = IdleConnections()
        self.consecutive_failures = 0
        self.consecutive_refusals_by_model: collections.Counter[str] = (
            collections.Counter()
        )
        self.backoff_until_by_model: dict[str, float] = {}
        self.backoff_until = 0.0
        self.last_success_at = float("-inf")
        self.connection_refused_at = float("-inf")
        self.seconds_per_unit: float | None = None
        self.measured_at = float("-inf")
        self.failure_rate = 0.0
        self.failure_rate_updated_at = float("-inf")
        self.version_by_model: dict[str, int] = {}

    @classmethod
    def of_new_start(cls, previous: "EndpointHealth") -> "EndpointHealth":
        """Returns the state of an endpoint that has started again.

        Nothing of the start before holds but the requests that still run.
        """
        health = cls()
        health.in_flight = previous.in_flight
        health.work = previous.work
        return health

    def state(
        self, shares: PeerShares, measured_since: float, now: float
    ) -> EndpointState:
        """Returns what peers are told.

        Args:
          shares: What is known of the endpoint's limit.
          measured_since: Monotonic time in seconds; older measurements of the
            speed are left out.
          now: Monotonic time in seconds.
        """
        return EndpointState(
            self.in_flight,
            self.seconds_per_unit
            if self.measured_at >= measured_since
            else None,
            shares,
            self.work.left_s(now),
        )

    def begin_request(self, expected_s: float, now: float) -> None:
        """Adds a request that is expected to take `expected_s` seconds."""
        self.in_flight += 1
        self.work.begin(expected_s, now)
        self.connections.take()

    def end_request(self, leaves_connection: bool, now: float) -> None:
        """Takes a request off; its connection may serve another one."""
        self.in_flight -= 1
        self.work.end()
        if leaves_connection:
            self.connections.leave(now)

    def is_available(self, model: str, now: float) -> bool:
        """Returns whether the endpoint is in no backoff for a model."""
        refused_until = self.backoff_until_by_model.get(model, 0.0)
        return max(self.backoff_until, refused_until) <= now

    def begin_probe(self, model: str, is_alone: bool, now: float) -> None:
        """Holds other requests back while one tries the endpoint.

        Args:
          model: Model of the request.
          is_alone: Whether a single request tries the endpoint after failures,
            too, and not only after refusals.
          now: Monotonic time in seconds.
        """
        if self.consecutive_refusals_by_model[model]:
            self.backoff_until_by_model[model] = now + MAX_REFUSAL_BACKOFF_S
        if self.consecutive_failures and is_alone:
            self.backoff_until = now + PROBE_BACKOFF_S

    def record_event(self, now: float) -> None:
        """Ends the backoff after failures."""
        self.consecutive_failures = 0
        self.backoff_until = 0.0
        self.last_success_at = now

    def record_success(self, seconds_per_unit: float, now: float) -> None:
        """Ends the backoff after failures and updates the speed."""
        self.record_event(now)
        average = (
            seconds_per_unit
            if self.seconds_per_unit is None
            else self.seconds_per_unit
        )
        self.seconds_per_unit = average + SECONDS_PER_UNIT_SMOOTHING * (
            seconds_per_unit - average
        )
        self.measured_at = now

    def current_failure_rate(self, now: float) -> float:
        """Returns the recent share of failed requests."""
        age_s = now - self.failure_rate_updated_at
        return self.failure_rate * 0.5 ** (age_s / FAILURE_RATE_HALF_LIFE_S)

    def record_outcome(self, has_failed: bool, now: float) -> None:
        """Updates the failure rate."""
        previous = self.current_failure_rate(now)
        self.failure_rate_updated_at = now
        self.failure_rate = previous + FAILURE_RATE_SMOOTHING * (
            float(has_failed) - previous
        )

    def record_refusal(self, model: str, now: float) -> None:
        """Begins a backoff for a model."""
        consecutive_refusals = self.consecutive_refusals_by_model[model]
        backoff_s = min(
            MAX_REFUSAL_BACKOFF_S,
            INITIAL_REFUSAL_BACKOFF_S * 2**consecutive_refusals,
        )
        self.consecutive_refusals_by_model[model] += 1
        self.backoff_until_by_model[model] = now + backoff_s

    def record_failure(self, now: float) -> float:
        """Begins a backoff after a failure and returns its seconds."""
        backoff_s = min(
            MAX_FAILURE_BACKOFF_S,
            INITIAL_FAILURE_BACKOFF_S * 2**self.consecutive_failures,
        )
        self.consecutive_failures += 1
        self.backoff_until = now + backoff_s
        return backoff_s

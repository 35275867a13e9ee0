"""Load and health of an endpoint, as one process observes them."""

import collections


class EndpointHealth:
    """Load and health of an endpoint, observed from this process's requests."""

    def __init__(self) -> None:
        self.in_flight = 0
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

"""Connects the cost of one request with the speed of its endpoint."""

from shallotstand.dispatch.config import Route
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoint_health import DEFAULT_WORK_S
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.request_costs import (
    CostEstimate,
    RequestCosts,
    RequestTraits,
)


def traits_of(
    service: str, route: Route, endpoint_request: EndpointRequest
) -> RequestTraits:
    """Returns what decides how much work a request is expected to be."""
    return RequestTraits(
        service,
        route.name,
        endpoint_request.account,
        len(endpoint_request.body),
    )


class RequestCost:
    """What one request is likely to cost; learns from how it ends.

    Attributes:
      estimate: The estimate as the request arrived; None if unknown.
    """

    def __init__(self, costs: RequestCosts, traits: RequestTraits):
        self._costs = costs
        self._traits = traits
        self.estimate: CostEstimate | None = costs.estimate(traits)

    @property
    def expected_s(self) -> float:
        """Expected seconds at an endpoint of usual speed."""
        return (
            DEFAULT_WORK_S if self.estimate is None else self.estimate.seconds
        )

    def record_success(
        self,
        endpoint_registry: EndpointRegistry,
        endpoint: Endpoint,
        took_s: float,
    ) -> None:
        """Records how long an endpoint took.

        What was expected tells how fast the endpoint is, and how fast it is
        tells what the request has cost.
        """
        seconds_per_unit = endpoint_registry.seconds_per_unit(endpoint) or 1.0
        self._costs.record(self._traits, took_s / seconds_per_unit)
        has_estimate = self.estimate is not None and self.estimate.seconds > 0
        endpoint_registry.record_success(
            endpoint, took_s / self.estimate.seconds if has_estimate else 1.0
        )

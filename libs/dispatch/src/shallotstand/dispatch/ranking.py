"""Ranks the endpoints that could take a request.

Two patterns of load need different rankings. Unary requests are short and
queue at a busy endpoint, so their load matters as much as the speed. A batch
item generates many events one after the other: an engine with a free slot
generates them at a speed of its own that hardly depends on its load, and a
trainer waits for the longest item.
"""

from typing import NamedTuple, Protocol

# Relative cost of an endpoint in another availability zone, since traffic
# between zones is billed.
OTHER_ZONE_FACTOR = 1.1
# Relative increase of an endpoint's cost if every request on it fails.
# Endpoints that fail fast would otherwise appear idle and attract all requests.
FAILURE_COST_FACTOR = 12.0
# Relative increase of the cost of an engine without a free slot.
FULL_ENGINE_COST = 0.2


class EndpointView(NamedTuple):
    """What is known of an endpoint when a request is placed.

    Attributes:
      running: Requests in flight from all processes.
      slots: Number of requests that it processes concurrently.
      seconds_per_unit: Seconds per unit of work, estimated if not measured.
      is_in_zone: Whether it is in the zone of this process.
      failure_rate: Recent share of failed requests.
    """

    running: int
    slots: int
    seconds_per_unit: float
    is_in_zone: bool
    failure_rate: float


class EndpointRanking(Protocol):
    """Computes the relative cost of using an endpoint."""

    def cost(self, view: EndpointView) -> float:
        """Returns the cost; the endpoint with the lowest one is the best."""
        ...


class QueueRanking:
    """Prefers the endpoint at which a unary request ends first."""

    def cost(self, view: EndpointView) -> float:
        """Returns the expected time in the queue and at work."""
        return _base_cost(view) * (view.running + 1) / view.slots


class SpeedRanking:
    """Prefers the fastest engine for a batch item, then the least loaded."""

    def cost(self, view: EndpointView) -> float:
        """Returns the expected time for each event."""
        relative_load = view.running / view.slots
        return _base_cost(view) * (1.0 + FULL_ENGINE_COST * relative_load)


def _base_cost(view: EndpointView) -> float:
    zone_factor = 1.0 if view.is_in_zone else OTHER_ZONE_FACTOR
    failure_factor = 1.0 + FAILURE_COST_FACTOR * view.failure_rate
    return view.seconds_per_unit * zone_factor * failure_factor

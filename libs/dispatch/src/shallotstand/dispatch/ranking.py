"""Ranks the endpoints that could take a request.

Two patterns of load need different rankings. Unary requests are short, cost
very different amounts of work and queue at a busy endpoint, so the work that is
left there matters as much as the speed. A batch item generates many events one
after the other: an engine with a free slot generates them at a speed of its own
that hardly depends on its load, and a trainer waits for the longest item.
"""

from typing import NamedTuple, Protocol

# Relative cost of an endpoint in another availability zone, since traffic
# between zones is billed.
OTHER_ZONE_FACTOR = 1.25
# Relative cost of an endpoint to which a new connection has to be opened.
NEW_CONNECTION_FACTOR = 1.25
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
        The unit is a second of work at usual speed, or an event of an item.
      is_in_zone: Whether it is in the zone of this process.
      failure_rate: Recent share of failed requests.
      expected_s: Seconds that the request takes at an endpoint of usual speed.
      work_left_s: Seconds of work of the requests in flight.
      has_idle_connection: Whether an open connection to it is likely idle.
    """

    running: int
    slots: int
    seconds_per_unit: float
    is_in_zone: bool
    failure_rate: float
    expected_s: float
    work_left_s: float
    has_idle_connection: bool


class EndpointRanking(Protocol):
    """Computes the relative cost of using an endpoint."""

    def cost(self, view: EndpointView) -> float:
        """Returns the cost; the endpoint with the lowest one is the best."""
        ...


class WorkRanking:
    """Prefers the endpoint at which a unary request ends first."""

    def cost(self, view: EndpointView) -> float:
        """Returns the expected time for the work left and the request."""
        work_s = view.work_left_s + view.expected_s * view.seconds_per_unit
        return _relative_cost(view) * work_s / view.slots


class SpeedRanking:
    """Prefers the fastest engine for a batch item, then the least loaded."""

    def cost(self, view: EndpointView) -> float:
        """Returns the expected time for each event."""
        relative_load = view.running / view.slots
        return (
            _relative_cost(view)
            * view.seconds_per_unit
            * (1.0 + FULL_ENGINE_COST * relative_load)
        )


def _relative_cost(view: EndpointView) -> float:
    """Returns what is added for the zone, the connection and failures."""
    zone_factor = 1.0 if view.is_in_zone else OTHER_ZONE_FACTOR
    connection_factor = (
        1.0 if view.has_idle_connection else NEW_CONNECTION_FACTOR
    )
    failure_factor = 1.0 + FAILURE_COST_FACTOR * view.failure_rate
    return zone_factor * connection_factor * failure_factor

"""Load and speed of an endpoint, as processes tell each other."""

from typing import NamedTuple

from shallotstand.dispatch.request_shares import PeerShares


class EndpointState(NamedTuple):
    """Load and speed of an endpoint, as seen by one or several processes.

    Attributes:
      running: Requests from these processes that are in flight.
      seconds_per_unit: Seconds per unit of work: per request for unary
        responses, per event for batch items. None without a recent
        measurement.
      shares: What these processes know of its limit, and which of them
        compete for it.
      work_left_s: Seconds of work that these requests still cause.
    """

    running: int
    seconds_per_unit: float | None = None
    shares: PeerShares = PeerShares()
    work_left_s: float = 0.0

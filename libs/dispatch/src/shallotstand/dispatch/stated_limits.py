"""Limits on the rate of requests that endpoints state in their responses."""

from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock


class StatedLimit(NamedTuple):
    """What an endpoint last stated about the requests that it accepts.

    Attributes:
      requests_per_s: Requests per second from all processes together; None if
        the endpoint states no limit.
      stated_at: Monotonic time in seconds at which the response arrived.
    """

    requests_per_s: float | None
    stated_at: float


class StatedLimits:
    """The newest statement of each endpoint.

    Attributes:
      by_id: Statements by the identifier of the endpoint. Endpoints that have
        never stated a limit are left out.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.by_id: dict[str, StatedLimit] = {}

    def record_response(
        self, endpoint_id: str, requests_per_s: float | None, sent_at: float
    ) -> None:
        """Records what a response says about the limit of its endpoint.

        Args:
          endpoint_id: The endpoint.
          requests_per_s: Limit that the response states; None if none.
          sent_at: Monotonic time in seconds at which the request was sent.
        """
        previous = self.by_id.get(endpoint_id)
        if requests_per_s is None and (
            previous is None
            # Responses overtake each other: this one may be older than the
            # response that stated the limit.
            or sent_at < previous.stated_at
        ):
            return
        now = self._clock.monotonic()
        self.by_id[endpoint_id] = StatedLimit(requests_per_s, now)
        if previous is None or previous.requests_per_s != requests_per_s:
            logs.event(
                logging.INFO,
                "Endpoint states no limit any more"
                if requests_per_s is None
                else "Endpoint states a limit",
                endpoint=endpoint_id,
                requests_per_s=requests_per_s,
                before=previous.requests_per_s if previous else None,
                age_s=round(now - previous.stated_at, 3) if previous else None,
            )

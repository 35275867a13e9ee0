"""Limits on the rate of requests that endpoints state in their responses."""

from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock


class StatedLimit(NamedTuple):
    """What an endpoint stated about the requests that it accepts.

    Attributes:
      requests_per_s: Requests per second from all processes together; None if
        the endpoint states no limit.
      stated_at: Monotonic time in seconds at which the response arrived.
    """

    requests_per_s: float | None
    stated_at: float


class StatedLimits:
    """The statements of the endpoints that have ever stated a limit.

    Attributes:
      own_by_id: The newest statements in responses to this process, by the
        identifier of the endpoint.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._newest_by_id: dict[str, StatedLimit] = {}
        self.own_by_id: dict[str, StatedLimit] = {}

    def record_response(
        self, endpoint_id: str, requests_per_s: float | None, sent_at: float
    ) -> bool:
        """Records what a response says about the limit of its endpoint.

        Args:
          endpoint_id: The endpoint.
          requests_per_s: Limit that the response states; None if none.
          sent_at: Monotonic time in seconds at which the request was sent.

        Returns:
          Whether the limit has changed.
        """
        previous = self._newest_by_id.get(endpoint_id)
        if requests_per_s is None and (
            previous is None
            # Responses overtake each other: this one may be older than the
            # response that stated the limit.
            or sent_at < previous.stated_at
        ):
            return False
        stated = StatedLimit(requests_per_s, self._clock.monotonic())
        self.own_by_id[endpoint_id] = stated
        return self._update(endpoint_id, stated, "response")

    def record_start(self, endpoint_id: str) -> None:
        """Records that an endpoint has started anew, without a limit."""
        self.own_by_id.pop(endpoint_id, None)
        if endpoint_id in self._newest_by_id:
            # Reports of peers may still be about the time before the start.
            self._update(
                endpoint_id,
                StatedLimit(None, self._clock.monotonic()),
                "new start",
            )

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint."""
        self.own_by_id.pop(endpoint_id, None)
        self._newest_by_id.pop(endpoint_id, None)

    def newest(
        self, endpoint_id: str, from_peers: StatedLimit | None
    ) -> float | None:
        """Returns the limit of an endpoint; None if it has none.

        Args:
          endpoint_id: The endpoint.
          from_peers: The newest statement that peers report; None if they
            report none.
        """
        known = self._newest_by_id.get(endpoint_id)
        if from_peers is not None and (
            known is None or from_peers.stated_at > known.stated_at
        ):
            self._update(endpoint_id, from_peers, "peer")
            known = from_peers
        return None if known is None else known.requests_per_s

    def _update(
        self, endpoint_id: str, stated: StatedLimit, source: str
    ) -> bool:
        previous = self._newest_by_id.get(endpoint_id)
        before = None if previous is None else previous.requests_per_s
        self._newest_by_id[endpoint_id] = stated
        if stated.requests_per_s == before:
            return False
        now = self._clock.monotonic()
        logs.event(
            logging.INFO,
            "Endpoint states no limit any more"
            if stated.requests_per_s is None
            else "Endpoint states a limit",
            endpoint=endpoint_id,
            requests_per_s=stated.requests_per_s,
            before=before,
            source=source,
            age_s=round(now - stated.stated_at, 3),
        )
        return True

"""Chooses the endpoint for a request."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure


class Candidate(NamedTuple):
    """An endpoint as seen by one entry.

    Attributes:
      name: Name of the endpoint.
      zone: Availability zone.
      state: `live`, `suspected` or `leaving`.
      version: Weight version that the endpoint reported; empty while unknown.
      reported_requests: Running and queued requests in the last load report.
      in_flight: Unfinished requests of this entry at the endpoint.
      in_flight_at_report: Value of `in_flight` when the last report arrived.
      slots: Requests that the endpoint runs at once; 0 if unknown.
    """

    name: str
    zone: str
    state: str = "live"
    version: str = ""
    reported_requests: int = 0
    in_flight: int = 0
    in_flight_at_report: int = 0
    slots: int = 0

    @property
    def load(self) -> float:
        """Requests at the endpoint, as a share of its slots.

        The requests that this entry has sent since the last load report are
        added to those in the report.
        """
        since_report = max(0, self.in_flight - self.in_flight_at_report)
        busy = max(self.reported_requests + since_report, self.in_flight)
        return busy / max(1, self.slots)


class RouteQuery(NamedTuple):
    """Properties of a request that determine its endpoint.

    Attributes:
      zone: Availability zone of the entry.
      prompt_blocks: Hashes of the prompt's blocks, first block first.
      excluded: Names of endpoints that already failed this request.
      version: Weight version that the request requires; empty for any.
    """

    zone: str
    prompt_blocks: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()
    version: str = ""


class Router(Protocol):
    """Chooses an endpoint for each request."""

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the endpoint for a request.

        Errors:
          NO_ENDPOINT: No candidate can take the request.
        """
        ...


def eligible_candidates(
    candidates: Sequence[Candidate], query: RouteQuery
) -> list[Candidate]:
    """Returns the candidates that may be sent the request."""
    return [
        candidate
        for candidate in candidates
        if candidate.state == "live"
        and candidate.name not in query.excluded
        and query.version in ("", candidate.version)
    ]


NO_ENDPOINT = Failure(
    ResultCode.NO_ENDPOINT, "No endpoint can take the request."
)


class LeastLoadedRouter:
    """Chooses the less loaded of two endpoints drawn at random.

    If each entry chose the least loaded of all endpoints, they would all send
    to the same one until its next load report.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the less loaded of two random candidates."""
        eligible = eligible_candidates(candidates, query)
        if not eligible:
            return NO_ENDPOINT
        pair = self._rng.sample(eligible, min(2, len(eligible)))
        return min(pair, key=lambda candidate: candidate.load)

"""Baseline routers that ignore the prompt."""

import itertools
from collections.abc import Sequence

from shallotstand.core.failure import Failure
from shallotstand.serving.routing import (
    NO_ENDPOINT,
    Candidate,
    RouteQuery,
    eligible_candidates,
)


class RoundRobinRouter:
    """Chooses the endpoints in turn."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the next eligible endpoint."""
        eligible = eligible_candidates(candidates, query)
        if not eligible:
            return NO_ENDPOINT
        return eligible[next(self._counter) % len(eligible)]


class LeastConnectionsRouter:
    """Chooses the endpoint with the fewest requests of this entry."""

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the eligible endpoint with the fewest requests in flight."""
        eligible = eligible_candidates(candidates, query)
        if not eligible:
            return NO_ENDPOINT
        return min(eligible, key=lambda candidate: candidate.in_flight)

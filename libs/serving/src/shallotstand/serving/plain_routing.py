"""Baselines for routing, which know nothing of prompts."""

import itertools
from collections.abc import Sequence

from shallotstand.core.failure import Failure
from shallotstand.serving.routing import (
    NO_ENDPOINT,
    Candidate,
    RouteQuery,
    usable,
)


class RoundRobinRouter:
    """Takes the endpoints in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the next endpoint."""
        live = usable(candidates, query)
        if not live:
            return NO_ENDPOINT
        return live[next(self._turns) % len(live)]


class LeastConnectionsRouter:
    """Takes the endpoint with the fewest requests of this entry."""

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the endpoint with the fewest requests in flight."""
        live = usable(candidates, query)
        if not live:
            return NO_ENDPOINT
        return min(live, key=lambda candidate: candidate.in_flight)

"""Routes a prompt to an endpoint that probably holds its prefix."""

import random
from collections.abc import Sequence

from shallotstand.core.failure import Failure
from shallotstand.serving.prefix_index import DecayingPrefixIndex
from shallotstand.serving.routing import (
    NO_ENDPOINT,
    Candidate,
    RouteQuery,
    usable,
)

# A wholly cached prompt makes up for this much load, in shares of the slots.
HIT_BONUS = 1.0
# Below this load an endpoint batches one more request at almost no cost.
EASY_LOAD = 0.8
# 3 ms for the way to another availability zone and back are little beside
# an answer of seconds, but they are not free.
ZONE_PENALTY = 0.1
# How much likelier an endpoint with the whole prefix is picked than one
# without; lower values find the holder too rarely among many endpoints.
_HIT_FACTOR = 1000.0


class PrefixRouter:
    """Takes the better of two endpoints picked at random by weight.

    The random pick keeps entries with the same lagging reports from all
    sending to one endpoint.
    """

    def __init__(self, rng: random.Random, index: DecayingPrefixIndex):
        self._rng = rng
        self._index = index

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the endpoint for a request and notes the prompt there."""
        live = usable(candidates, query)
        if not live:
            return NO_ENDPOINT
        hit_by_name = {c.name: self._hit(c, query) for c in live}
        weights = [
            (1 + _HIT_FACTOR * hit_by_name[c.name]) / (0.5 + c.load)
            for c in live
        ]
        pair = self._rng.choices(live, weights, k=2)
        if pair[0] is pair[1]:
            pair[1] = self._rng.choice(live)
        chosen = min(
            pair,
            key=lambda c: (
                max(c.load, EASY_LOAD)
                + ZONE_PENALTY * (c.zone != query.zone)
                - HIT_BONUS * hit_by_name[c.name]
            ),
        )
        self._index.note_sent(chosen.name, query.prompt_blocks)
        return chosen

    def _hit(self, candidate: Candidate, query: RouteQuery) -> float:
        """Returns the share of the prompt's blocks that a candidate holds."""
        if not query.prompt_blocks:
            return 0.0
        held = self._index.held(candidate.name, query.prompt_blocks)
        return held / len(query.prompt_blocks)

"""Routes a prompt to an endpoint that probably has its prefix cached."""

import random
from collections.abc import Sequence

from shallotstand.core.failure import Failure
from shallotstand.serving.prefix_index import ExpiringPrefixIndex
from shallotstand.serving.routing import (
    NO_ENDPOINT,
    Candidate,
    RouteQuery,
    eligible_candidates,
)

# A fully cached prompt outweighs this much load, as a share of the slots.
CACHED_PREFIX_BONUS = 1.0
# Below this load an endpoint batches one more request at almost no cost.
FREE_BATCHING_LOAD = 0.8
# The round trip to another availability zone adds 3 ms, which is short
# compared with an answer of seconds: it only decides between similar endpoints.
ZONE_PENALTY = 0.1
# How much more likely an endpoint with the whole prompt cached is drawn than
# one without. High, because an endpoint with the prefix would otherwise be
# drawn too rarely among many.
_CACHED_PREFIX_WEIGHT = 1000.0


class PrefixRouter:
    """Chooses the better of two endpoints drawn at random by weight.

    The random draw keeps entries that see the same outdated load reports from
    sending all their requests to one endpoint.
    """

    def __init__(self, rng: random.Random, index: ExpiringPrefixIndex):
        self._rng = rng
        self._index = index

    def choose(
        self, candidates: Sequence[Candidate], query: RouteQuery
    ) -> Candidate | Failure:
        """Returns the chosen endpoint and records the prompt as sent to it."""
        eligible = eligible_candidates(candidates, query)
        if not eligible:
            return NO_ENDPOINT
        cached_ratio_by_name = {
            c.name: self._cached_ratio(c, query) for c in eligible
        }
        weights = [
            (1 + _CACHED_PREFIX_WEIGHT * cached_ratio_by_name[c.name])
            / (0.5 + c.load)
            for c in eligible
        ]
        pair = self._rng.choices(eligible, weights, k=2)
        if pair[0] is pair[1]:
            pair[1] = self._rng.choice(eligible)
        chosen = min(
            pair,
            key=lambda c: (
                max(c.load, FREE_BATCHING_LOAD)
                + ZONE_PENALTY * (c.zone != query.zone)
                - CACHED_PREFIX_BONUS * cached_ratio_by_name[c.name]
            ),
        )
        self._index.record_sent_prompt(chosen.name, query.prompt_blocks)
        return chosen

    def _cached_ratio(self, candidate: Candidate, query: RouteQuery) -> float:
        """Returns the share of the prompt that the candidate has cached."""
        if not query.prompt_blocks:
            return 0.0
        cached_blocks = self._index.count_cached_blocks(
            candidate.name, query.prompt_blocks
        )
        return cached_blocks / len(query.prompt_blocks)

"""Limits the endpoints that a router has to compare."""

import random
from collections.abc import Collection
from typing import Protocol

from shallotstand.serving.routing import RouteQuery

# Reading and weighing one candidate takes a router about 10 us. The better of
# a few random endpoints is nearly as good as the best of all.
MAX_RANDOM_CANDIDATES = 16
MAX_PREFIX_HOLDERS = 8


class PrefixHolders(Protocol):
    """Finds the endpoints that have a prompt's blocks cached."""

    def find_holders(self, blocks: tuple[int, ...], limit: int) -> list[str]:
        """Returns endpoints by length of the cached prefix, longest first."""
        ...


class Shortlist:
    """Selects endpoints that have the prompt's prefix and random others."""

    def __init__(self, rng: random.Random, index: PrefixHolders):
        self._rng = rng
        self._index = index

    def candidate_names(
        self, endpoints: Collection[str], query: RouteQuery
    ) -> list[str]:
        """Returns the names of the endpoints for a router to choose from.

        Args:
          endpoints: Names of all endpoints of the service.
          query: The request.
        """
        if len(endpoints) <= MAX_RANDOM_CANDIDATES + MAX_PREFIX_HOLDERS:
            return list(endpoints)
        holders = self._index.find_holders(
            query.prompt_blocks, MAX_PREFIX_HOLDERS
        )
        listed_holders = [name for name in holders if name in endpoints]
        random_names = self._rng.sample(tuple(endpoints), MAX_RANDOM_CANDIDATES)
        return list(dict.fromkeys((*listed_holders, *random_names)))

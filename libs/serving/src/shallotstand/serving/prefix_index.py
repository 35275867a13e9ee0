"""Which endpoint probably holds which prompt blocks in its prefix cache."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from shallotstand.core.clock import Clock

# Events come late and with gaps, so an eviction may never be reported.
EVENT_LIFE_S = 300.0
# Where a prompt was sent is a guess: the request may have failed there.
SENT_LIFE_S = 60.0
MAX_BLOCKS = 4096  # for each endpoint; about 0.5 MB


class PrefixIndex(Protocol):
    """Learns what the endpoints' caches hold."""

    def take_events(
        self, endpoint: str, added: Iterable[int], evicted: Iterable[int]
    ) -> None:
        """Takes an endpoint's cache events."""
        ...

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint whose engine ended."""
        ...


class DecayingPrefixIndex:
    """Keeps blocks by endpoint until they are evicted or too old."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._expiry_by_endpoint: dict[str, OrderedDict[int, float]] = {}

    def take_events(
        self, endpoint: str, added: Iterable[int], evicted: Iterable[int]
    ) -> None:
        """Takes an endpoint's cache events."""
        expiry_by_block = self._blocks(endpoint)
        for block in evicted:
            expiry_by_block.pop(block, None)
        self._add(expiry_by_block, added, EVENT_LIFE_S)

    def note_sent(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Notes that a prompt of these blocks was sent to an endpoint."""
        self._add(self._blocks(endpoint), blocks, SENT_LIFE_S)

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint whose engine ended."""
        self._expiry_by_endpoint.pop(endpoint, None)

    def held(self, endpoint: str, blocks: tuple[int, ...]) -> int:
        """Returns how many of a prompt's first blocks an endpoint holds.

        A hash covers all blocks before it, so the last known block counts for
        those whose events were lost.
        """
        expiry_by_block = self._expiry_by_endpoint.get(endpoint)
        if not expiry_by_block:
            return 0
        now = self._clock.monotonic()
        for count in range(len(blocks), 0, -1):
            if expiry_by_block.get(blocks[count - 1], 0.0) > now:
                return count
        return 0

    def _blocks(self, endpoint: str) -> OrderedDict[int, float]:
        return self._expiry_by_endpoint.setdefault(endpoint, OrderedDict())

    def _add(
        self,
        expiry_by_block: OrderedDict[int, float],
        blocks: Iterable[int],
        life_s: float,
    ) -> None:
        expiry = self._clock.monotonic() + life_s
        for block in blocks:
            later = max(expiry, expiry_by_block.get(block, 0.0))
            expiry_by_block[block] = later
            expiry_by_block.move_to_end(block)
        while len(expiry_by_block) > MAX_BLOCKS:
            expiry_by_block.popitem(last=False)

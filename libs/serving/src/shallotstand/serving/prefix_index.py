"""Index of the prompt blocks that endpoints probably have cached."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from shallotstand.core.clock import Clock

# Events arrive late and some are lost, so an eviction may go unreported.
EVENT_TTL_S = 300.0
# A sent prompt is only presumed cached: the request may have failed.
SENT_TTL_S = 60.0
# Limits the memory to about 60 MB: a pair of block and endpoint takes 120 B.
MAX_BLOCKS = 524_288
MAX_BLOCKS_PER_ENDPOINT = 4096


class PrefixIndex(Protocol):
    """Tracks the contents of the endpoints' prefix caches."""

    def receive_cache_events(
        self, endpoint: str, added: Iterable[int], evicted: Iterable[int]
    ) -> None:
        """Updates the cached blocks of an endpoint from its cache events."""
        ...

    def forget_endpoint(self, endpoint: str) -> None:
        """Removes an endpoint whose engine has ended."""
        ...


class ExpiringPrefixIndex:
    """Keeps the blocks of each endpoint until they are evicted or expire."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._expiry_by_endpoint: dict[str, OrderedDict[int, float]] = {}
        self._endpoints_by_block: dict[int, set[str]] = {}

    def receive_cache_events(
        self, endpoint: str, added: Iterable[int], evicted: Iterable[int]
    ) -> None:
        """Updates the cached blocks of an endpoint from its cache events."""
        expiry_by_block = self._endpoint_blocks(endpoint)
        for block in evicted:
            if expiry_by_block.pop(block, None) is not None:
                self._unlink(endpoint, block)
        self._add(endpoint, added, EVENT_TTL_S)

    def record_sent_prompt(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Records that a prompt of these blocks was sent to an endpoint."""
        self._add(endpoint, blocks, SENT_TTL_S)

    def forget_endpoint(self, endpoint: str) -> None:
        """Removes an endpoint whose engine has ended."""
        for block in self._expiry_by_endpoint.pop(endpoint, ()):
            self._unlink(endpoint, block)

    def find_holders(self, blocks: tuple[int, ...], limit: int) -> list[str]:
        """Returns endpoints by length of the cached prefix, longest first.

        Args:
          blocks: Hashes of the prompt's blocks, first block first.
          limit: Maximum number of endpoints.
        """
        found: dict[str, None] = {}
        for block in reversed(blocks):
            found.update(dict.fromkeys(self._endpoints_by_block.get(block, ())))
            if len(found) >= limit:
                break
        return list(found)[:limit]

    def count_cached_blocks(
        self, endpoint: str, blocks: tuple[int, ...]
    ) -> int:
        """Returns how many leading blocks of a prompt an endpoint has cached.

        The hash of a block covers all blocks before it, so the last known
        block implies the earlier ones, whose events may have been lost.
        """
        expiry_by_block = self._expiry_by_endpoint.get(endpoint)
        if not expiry_by_block:
            return 0
        now = self._clock.monotonic()
        for count in range(len(blocks), 0, -1):
            if expiry_by_block.get(blocks[count - 1], 0.0) > now:
                return count
        return 0

    def _endpoint_blocks(self, endpoint: str) -> OrderedDict[int, float]:
        return self._expiry_by_endpoint.setdefault(endpoint, OrderedDict())

    def _add(self, endpoint: str, blocks: Iterable[int], ttl_s: float) -> None:
        expiry_by_block = self._endpoint_blocks(endpoint)
        expiry = self._clock.monotonic() + ttl_s
        for block in blocks:
            expiry_by_block[block] = max(
                expiry, expiry_by_block.get(block, 0.0)
            )
            expiry_by_block.move_to_end(block)
            self._endpoints_by_block.setdefault(block, set()).add(endpoint)
        endpoint_limit = MAX_BLOCKS // len(self._expiry_by_endpoint)
        while len(expiry_by_block) > min(
            MAX_BLOCKS_PER_ENDPOINT, endpoint_limit
        ):
            self._unlink(endpoint, expiry_by_block.popitem(last=False)[0])

    def _unlink(self, endpoint: str, block: int) -> None:
        endpoints = self._endpoints_by_block[block]
        endpoints.discard(endpoint)
        if not endpoints:
            del self._endpoints_by_block[block]

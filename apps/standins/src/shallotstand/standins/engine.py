"""A small stand-in for a model engine."""

import asyncio
import hashlib
import itertools
from collections import OrderedDict
from collections.abc import AsyncIterator
from typing import NamedTuple

from shallotstand.core.ids import new_id
from shallotstand.core.prompt_blocks import prompt_blocks


class EngineProfile(NamedTuple):
    """How a stand-in behaves.

    Attributes:
      slots: Requests that it batches.
      token_s: Seconds for each token.
      prefill_s: Seconds for each prompt block that is not cached.
      cache_blocks: Prompt blocks that the prefix cache holds.
      checks_epoch: Whether it refuses orders with an old fencing number.
      load_lag_s: Age of its load reports in seconds.
      lost_events: Share of cache events that are never reported.
      failing_swaps: Number of weight swaps that fail, counted down.
    """

    slots: int = 8
    token_s: float = 0.002
    prefill_s: float = 0.001
    cache_blocks: int = 256
    checks_epoch: bool = True
    load_lag_s: float = 0.2
    lost_events: float = 0.0
    failing_swaps: int = 0


class Token(NamedTuple):
    """A generated token and the weights that generated it."""

    text: str
    version: str


class EngineRun(NamedTuple):
    """What the engine records of a request, for tests to compare with."""

    request_id: str
    prompt: str
    tokens: int
    finished: bool


class StandinEngine:
    """Batches requests in slots, by priority, with a prefix cache.

    Attributes:
      incarnation: Identifier of this run.
      version: Weight version in force; empty after a failed swap.
      runs: Record of every request that was started.
      headers_seen: Names of all request headers, to look for leaked keys.
    """

    def __init__(self, profile: EngineProfile, version: str = "v1"):
        self.profile = profile
        self.incarnation = new_id()
        self.version = version
        self.runs: list[EngineRun] = []
        self.headers_seen: set[str] = set()
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._added: list[int] = []
        self._evicted: list[int] = []
        self._epoch = 0
        self._failing_swaps = profile.failing_swaps

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    async def generate(
        self, request_id: str, prompt: str, max_tokens: int, priority: int
    ) -> AsyncIterator[Token]:
        """Yields tokens; closing the iterator cancels the request."""
        await self._take_slot(priority)
        done = 0
        try:
            await asyncio.sleep(self._prefill(prompt))
            for index in range(max_tokens):
                await asyncio.sleep(self.profile.token_s)
                done += 1
                yield Token(_word(prompt, index), self.version)
        finally:
            self.running -= 1
            self.runs.append(
                EngineRun(request_id, prompt, done, done == max_tokens)
            )
            self._give_slots()

    def load(self) -> dict[str, object]:
        """Returns the load report and forgets the cache events in it."""
        added, self._added = self._added, []
        evicted, self._evicted = self._evicted, []
        return {
            "incarnation": self.incarnation,
            "running": self.running,
            "queued": self.queued,
            "slots": self.profile.slots,
            "free_blocks": self.profile.cache_blocks - len(self._cache),
            "version": self.version,
            "added": added,
            "evicted": evicted,
        }

    def order(self, action: str, argument: str, epoch: int) -> str:
        """Carries out an order.

        Returns:
          Empty on success, else `stale` or `failed`.
        """
        if self.profile.checks_epoch and epoch < self._epoch:
            return "stale"
        self._epoch = max(self._epoch, epoch)
        if action == "switch":
            if self._failing_swaps > 0:
                self._failing_swaps -= 1
                self.version = ""
                return "failed"
            self.version = argument
        return ""

    async def _take_slot(self, priority: int) -> None:
        turn = asyncio.get_running_loop().create_future()
        entry = (-priority, next(self._arrivals), turn)
        self._waiting.append(entry)
        self._give_slots()
        try:
            await turn
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            else:
                self.running -= 1
                self._give_slots()
            raise

    def _give_slots(self) -> None:
        self._waiting.sort(key=lambda entry: entry[:2])
        while self._waiting and self.running < self.profile.slots:
            self.running += 1
            self._waiting.pop(0)[2].set_result(None)

    def _prefill(self, prompt: str) -> float:
        """Caches the prompt's blocks; returns the seconds of the prefill."""
        missing = 0
        for block in prompt_blocks(prompt):
            if block in self._cache:
                self._cache.move_to_end(block)
                continue
            missing += 1
            self._cache[block] = None
            self._added.append(block)
            if len(self._cache) > self.profile.cache_blocks:
                self._evicted.append(self._cache.popitem(last=False)[0])
        return missing * self.profile.prefill_s


def _word(prompt: str, index: int) -> str:
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3)
    return digest.hexdigest() + " "

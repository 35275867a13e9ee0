"""A small stand-in for a model engine."""

import asyncio
import hashlib
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Callable, Iterator
from typing import NamedTuple

from shallotstand.core.clock import Clock, SystemClock
from shallotstand.core.ids import new_id
from shallotstand.core.prompt_blocks import hash_prompt_blocks

# A prompt that contains this ends the engine process that runs it.
CRASH_MARKER = "<<crash-engine>>"


class EngineProfile(NamedTuple):
    """How a stand-in behaves.

    Attributes:
      slots: Requests that it batches.
      token_s: Seconds for each token.
      prefill_s: Seconds for each prompt block that is not cached.
      cache_blocks: Prompt blocks that the prefix cache holds.
      checks_epoch: Whether it refuses orders with an old fencing number.
      load_lag_s: Age of its load reports and cache events in seconds.
      lost_events: Share of cache events that are never reported.
      failing_swaps: Number of weight swaps that fail, counted down.
      restart_s: Seconds from a crash to the restart; 0 to wait for a call.
    """

    slots: int = 8
    token_s: float = 0.002
    prefill_s: float = 0.001
    cache_blocks: int = 256
    checks_epoch: bool = True
    load_lag_s: float = 0.2
    lost_events: float = 0.0
    failing_swaps: int = 0
    restart_s: float = 0.0


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


class EngineState(NamedTuple):
    """What a load report tells, at the time when it held.

    Attributes:
      at: Monotonic seconds.
      running: Requests in the batch.
      queued: Requests waiting.
      free_blocks: Free blocks of the prefix cache.
      version: Weight version in force.
    """

    at: float
    running: int
    queued: int
    free_blocks: int
    version: str


class CacheEvent(NamedTuple):
    """A prompt block that entered or left the prefix cache."""

    at: float
    kind: str
    block: int


class StandinEngine:
    """Batches requests in slots, by priority, with a prefix cache.

    Attributes:
      incarnation: Identifier of this run.
      is_crashed: Whether it answers nothing until it is restarted.
      on_crash: Called at each crash; HTTP fronts drop their connections.
      version: Weight version in force; empty after a failed swap.
      runs: Record of every request that was started.
      headers_seen: Names of all request headers, to look for leaked keys.
    """

    def __init__(
        self,
        profile: EngineProfile,
        version: str = "v1",
        clock: Clock | None = None,
        seed: int = 1,
    ):
        """Initializes an idle engine.

        Args:
          profile: How it behaves.
          version: Weight version in force at the start.
          clock: Clock of the reports' lag.
          seed: Seed of the choice of lost events.
        """
        self.profile = profile
        self.incarnation = new_id()
        self.version = version
        self.runs: list[EngineRun] = []
        self.headers_seen: set[str] = set()
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._epoch = 0
        self._failing_swaps = profile.failing_swaps
        self._clock = clock or SystemClock()
        self._rng = random.Random(seed)
        self._events: deque[CacheEvent] = deque()
        self._states: deque[EngineState] = deque()
        self.is_crashed = False
        self.on_crash: list[Callable[[], None]] = []
        self._note_state()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    async def generate(
        self, request_id: str, prompt: str, max_tokens: int, priority: int
    ) -> AsyncIterator[Token]:
        """Yields tokens; closing the iterator cancels the request."""
        if CRASH_MARKER in prompt:
            self.crash()
        if self.is_crashed:
            return
        incarnation = self.incarnation
        await self._take_slot(priority)
        done = 0
        try:
            await asyncio.sleep(self._prefill(prompt))
            for token in itertools.islice(token_texts(prompt), max_tokens):
                await asyncio.sleep(self.profile.token_s)
                if incarnation != self.incarnation or self.is_crashed:
                    return
                done += 1
                yield Token(token, self.version)
        finally:
            self.runs.append(
                EngineRun(request_id, prompt, done, done == max_tokens)
            )
            if incarnation == self.incarnation:
                self.running -= 1
                self._give_slots()

    def crash(self) -> None:
        """Ends the engine process; it answers nothing until the restart."""
        self.is_crashed = True
        for drop_connections in self.on_crash:
            drop_connections()
        if self.profile.restart_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.profile.restart_s, self.restart)

    def restart(self) -> None:
        """Starts the engine process anew, with an empty cache."""
        self.is_crashed = False
        self.incarnation = new_id()
        self.running = 0
        self._cache.clear()
        self._events.clear()
        self._states.clear()
        for *_, turn in self._waiting:
            turn.cancel()
        self._waiting.clear()
        self._note_state()

    def load(self) -> dict[str, object]:
        """Returns the load report as it was before the profile's lag."""
        shown_until = self._clock.monotonic() - self.profile.load_lag_s
        self._forget_states(shown_until)
        state = self._states[0]
        events = self._take_events(shown_until)
        return {
            "incarnation": self.incarnation,
            "running": state.running,
            "queued": state.queued,
            "slots": self.profile.slots,
            "free_blocks": state.free_blocks,
            "version": state.version,
            "added": [e.block for e in events if e.kind == "added"],
            "evicted": [e.block for e in events if e.kind == "evicted"],
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
                self._note_state()
                return "failed"
            self.version = argument
            self._note_state()
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
            elif not turn.cancelled():
                self.running -= 1
                self._give_slots()
            raise

    def _give_slots(self) -> None:
        self._waiting.sort(key=lambda entry: entry[:2])
        while self._waiting and self.running < self.profile.slots:
            self.running += 1
            self._waiting.pop(0)[2].set_result(None)
        self._note_state()

    def _note_state(self) -> None:
        now = self._clock.monotonic()
        self._forget_states(now - self.profile.load_lag_s)
        free_blocks = self.profile.cache_blocks - len(self._cache)
        self._states.append(
            EngineState(
                now, self.running, self.queued, free_blocks, self.version
            )
        )

    def _forget_states(self, shown_until: float) -> None:
        """Keeps the last state that may be shown and all later ones."""
        while len(self._states) > 1 and self._states[1].at <= shown_until:
            self._states.popleft()

    def _take_events(self, shown_until: float) -> list[CacheEvent]:
        taken = []
        while self._events and self._events[0].at <= shown_until:
            taken.append(self._events.popleft())
        return taken

    def _note_event(self, kind: str, block: int) -> None:
        if self._rng.random() >= self.profile.lost_events:
            now = self._clock.monotonic()
            self._events.append(CacheEvent(now, kind, block))

    def _prefill(self, prompt: str) -> float:
        """Caches the prompt's blocks; returns the seconds of the prefill."""
        missing = 0
        for block in hash_prompt_blocks(prompt):
            if block in self._cache:
                self._cache.move_to_end(block)
                continue
            missing += 1
            self._cache[block] = None
            self._note_event("added", block)
            if len(self._cache) > self.profile.cache_blocks:
                self._note_event("evicted", self._cache.popitem(last=False)[0])
        return missing * self.profile.prefill_s


def token_texts(prompt: str) -> Iterator[str]:
    """Yields the tokens that every engine generates after a prompt.

    Each depends on all text before it, as with greedy decoding, so that a
    continuation elsewhere equals a completion in one piece.
    """
    context = hashlib.blake2b(prompt.encode(), digest_size=3)
    while True:
        token = context.hexdigest() + " "
        context.update(token.encode())
        yield token

"""Measures where routers send prompts with shared beginnings."""

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from shallotstand.core.prompt_blocks import BLOCK_CHARS, hash_prompt_blocks
from shallotstand.serving.plain_routing import (
    LeastConnectionsRouter,
    RoundRobinRouter,
)
from shallotstand.serving.prefix_index import ExpiringPrefixIndex
from shallotstand.serving.prefix_routing import PrefixRouter
from shallotstand.serving.routing import (
    Candidate,
    LeastLoadedRouter,
    RouteQuery,
    Router,
)
from shallotstand.standins.engine import EngineProfile, StandinEngine

from measure.figure import Figure, percentile
from measure.simulated_time import LoopClock, run_simulated

ENTRIES = 3
ENGINES = 5
ZONES = ("peak-a", "peak-b", "peak-c")
PREFIXES = 40
PREFIX_BLOCKS = 16
OWN_BLOCKS = 2
TOKENS = 20
RATE = 70.0  # requests a second
DURATION_S = 60.0
WARM_UP_S = 10.0
REPORT_S = 0.5
EVENT_DELAY_S = 1.0
# The engines together hold all prefixes; one alone holds two fifths of them.
PROFILE = EngineProfile(slots=8, token_s=0.01, prefill_s=0.02, cache_blocks=256)
# Every prompt's own part is new, so no router can hit it.
IDEAL_HIT_SHARE = PREFIX_BLOCKS / (PREFIX_BLOCKS + OWN_BLOCKS)


class Result(NamedTuple):
    """What one run did.

    Attributes:
      hit_share: Share of prompt blocks that were cached.
      latencies: Seconds of each request.
      local_share: Share of requests that stayed in their zone.
      most_at_once: Largest share of the entries' requests between two reports
        that one engine got.
    """

    hit_share: float
    latencies: list[float]
    local_share: float
    most_at_once: float


class _Entry:
    """What one entry knows of the engines."""

    def __init__(self, number: int, router: Router, index):
        self.zone = ZONES[number]
        self.router = router
        self.index = index
        self.in_flight = [0] * ENGINES
        self.at_report = [0] * ENGINES
        self.reported = [0] * ENGINES

    def candidates(self) -> list[Candidate]:
        """Returns the engines as the router sees them."""
        return [
            Candidate(
                name=str(number),
                zone=ZONES[number % len(ZONES)],
                reported_requests=self.reported[number],
                in_flight=self.in_flight[number],
                in_flight_at_report=self.at_report[number],
                slots=PROFILE.slots,
            )
            for number in range(ENGINES)
        ]


class _Run:
    """Entries in front of stand-in engines."""

    def __init__(
        self, make: Callable, rng: random.Random, lost_events: float
    ) -> None:
        clock = LoopClock()
        self._rng = rng
        self._lost_events = lost_events
        self._engines = [StandinEngine(PROFILE) for _ in range(ENGINES)]
        self._entries = []
        for number in range(ENTRIES):
            index = ExpiringPrefixIndex(clock)
            router = make(random.Random(rng.randrange(1 << 30)), index)
            self._entries.append(_Entry(number, router, index))
        self._latencies: list[float] = []
        self._blocks = self._missed = self._local = 0
        self._sent = [0] * ENGINES
        self._most_at_once = 0.0

    async def run(self) -> Result:
        """Runs the load."""
        loop = asyncio.get_running_loop()
        reports = asyncio.create_task(self._reports())
        tasks = []
        number = 0
        while loop.time() < DURATION_S:
            await asyncio.sleep(self._rng.expovariate(RATE))
            number += 1
            tasks.append(asyncio.create_task(self._request(number)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(REPORT_S)
        reports.cancel()
        count = len(self._latencies)
        return Result(
            1 - self._missed / self._blocks,
            self._latencies,
            self._local / count,
            self._most_at_once,
        )

    def _prompt(self, number: int) -> str:
        # The smaller of two draws makes some prefixes more frequent.
        draws = (self._rng.randrange(PREFIXES) for _ in range(2))
        prefix = f"{min(draws):03}" * BLOCK_CHARS * PREFIX_BLOCKS
        own = f"{number:08}" * BLOCK_CHARS * OWN_BLOCKS
        return (
            prefix[: BLOCK_CHARS * PREFIX_BLOCKS]
            + own[: BLOCK_CHARS * OWN_BLOCKS]
        )

    async def _request(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        entry = self._rng.choice(self._entries)
        prompt = self._prompt(number)
        blocks = hash_prompt_blocks(prompt)
        chosen = entry.router.choose(
            entry.candidates(), RouteQuery(entry.zone, blocks)
        )
        target = int(chosen.name)
        engine = self._engines[target]
        entry.in_flight[target] += 1
        self._sent[target] += 1
        async for token in engine.generate(str(number), prompt, TOKENS, 0):
            del token
        entry.in_flight[target] -= 1
        if arrived > WARM_UP_S:
            self._latencies.append(loop.time() - arrived)
            self._local += chosen.zone == entry.zone
            self._blocks += len(blocks)

    async def _reports(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            sent, self._sent = self._sent, [0] * ENGINES
            if sum(sent) >= ENGINES:
                share = max(sent) / sum(sent)
                self._most_at_once = max(self._most_at_once, share)
            for number, engine in enumerate(self._engines):
                self._report(number, engine)

    def _report(self, number: int, engine: StandinEngine) -> None:
        report = engine.load()
        loop = asyncio.get_running_loop()
        if loop.time() > WARM_UP_S:
            # Every block that was not cached enters the cache.
            self._missed += len(report["added"])
        for entry in self._entries:
            entry.reported[number] = report["running"] + report["queued"]
            entry.at_report[number] = entry.in_flight[number]
            loop.call_later(
                EVENT_DELAY_S,
                entry.index.receive_cache_events,
                str(number),
                self._kept(report["added"]),
                self._kept(report["evicted"]),
            )

    def _kept(self, blocks: list[int]) -> list[int]:
        return [b for b in blocks if self._rng.random() >= self._lost_events]


def run(make: Callable, seed: int, lost_events: float) -> Result:
    """Runs the load with a router.

    Args:
      make: Called as make(rng, index) for each entry's router.
      seed: Seed of load and routers.
      lost_events: Share of the cache events that are lost.
    """

    async def start() -> Result:
        return await _Run(make, random.Random(seed), lost_events).run()

    return run_simulated(start())


def figures(seed: int) -> Iterator[Figure]:
    """Yields the figures of routing."""
    baselines = {
        "round robin": lambda _rng, _index: RoundRobinRouter(),
        "least connections": lambda _rng, _index: LeastConnectionsRouter(),
        "least loaded of two": lambda rng, _index: LeastLoadedRouter(rng),
    }
    plain = {name: run(make, seed, 0.2) for name, make in baselines.items()}
    best_hits = max(result.hit_share for result in plain.values())
    best_p99 = min(percentile(r.latencies, 99) for r in plain.values())
    best_local = max(result.local_share for result in plain.values())
    spread = plain["round robin"].most_at_once
    for lost in (0.2, 1.0):
        aware = run(PrefixRouter, seed, lost)
        name = f"{lost:.0%} of cache events lost"
        yield Figure(
            f"prefix-cache hits, {name}",
            "share of blocks",
            aware.hit_share,
            best_hits,
            0.8 * IDEAL_HIT_SHARE,
            True,
            seed,
        )
        yield Figure(
            f"latency p99, {name}",
            "s",
            percentile(aware.latencies, 99),
            best_p99,
            best_p99,
            False,
            seed,
        )
        yield Figure(
            f"requests that stay in their zone, {name}",
            "ratio",
            aware.local_share,
            best_local,
            best_local,
            True,
            seed,
        )
        yield Figure(
            f"largest share of one engine within a report, {name}",
            "ratio",
            aware.most_at_once,
            spread,
            0.5,
            False,
            seed,
        )

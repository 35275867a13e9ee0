"""Tests of the stand-in engine's lagging and lossy reports."""

import asyncio

from shallotstand.core.clock import ManualClock
from shallotstand.standins.engine import (
    BLOCK_CHARS,
    EngineProfile,
    StandinEngine,
)


def run_prompts(profile: EngineProfile, prompts: int) -> tuple:
    clock = ManualClock()
    engine = StandinEngine(profile, clock=clock)

    async def run() -> None:
        for number in range(prompts):
            prompt = f"{number:0{BLOCK_CHARS}}"
            async for _ in engine.generate("r", prompt, 1, 0):
                pass

    asyncio.run(run())
    return engine, clock


def test_events_come_late():
    # Guards against reports that show the router a state without lag.
    profile = EngineProfile(token_s=0, prefill_s=0, load_lag_s=1.0)
    engine, clock = run_prompts(profile, 3)
    assert engine.load()["added"] == []
    assert engine.load()["free_blocks"] == profile.cache_blocks
    clock.advance(1.5)
    report = engine.load()
    assert len(report["added"]) == 3
    assert report["free_blocks"] == profile.cache_blocks - 3
    assert engine.load()["added"] == []


def test_share_of_events_is_lost():
    # Guards against a loss setting without effect.
    profile = EngineProfile(
        token_s=0, prefill_s=0, load_lag_s=0, lost_events=0.5, cache_blocks=300
    )
    engine, _ = run_prompts(profile, 200)
    assert 70 < len(engine.load()["added"]) < 130

"""Engines that say that they leave, and come back as another start."""

import asyncio
import random

from shallotstand.standins.fleet import Fleet
from shallotstand.standins.fleet_engine import FleetEngine

# Pause between departures, and time for which an engine goes on serving.
PAUSE_S = 2.0
LEAVING_S = 3.5
# Delay of the change of its entry.
LIST_DELAY_S = 0.5


async def let_engines_leave(
    fleet: Fleet, engines: list[FleetEngine], seed: int, deadline: float
) -> None:
    """Lets one engine after another leave until the deadline.

    Its entry says so soon, late or never, or is gone at once.

    Args:
      fleet: The deployment.
      engines: The engines, of which one at a time leaves.
      seed: Seed of the choices.
      deadline: Time of the event loop in seconds.
    """
    rng = random.Random(f"departures {seed}")
    loop = asyncio.get_running_loop()
    while loop.time() + PAUSE_S < deadline:
        await asyncio.sleep(PAUSE_S)
        engine = rng.choice(engines)
        engine.leaving_header = "1"
        await asyncio.sleep(LIST_DELAY_S * rng.choice((0.0, 1.0)))
        entry = rng.choice(("ready", "draining", "gone"))
        if entry == "draining":
            await fleet.register(engine, "draining")
        elif entry == "gone":
            await fleet.platform.documents.delete("servers", engine.name)
        await asyncio.sleep(LEAVING_S)
        engine.leaving_header = None
        await engine.restart(engine.software_version)

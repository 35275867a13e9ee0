"""The store is silent for one gateway while the operator adds a route."""

import asyncio
import json
import pathlib
import time

from deployment import (
    CannotRunError,
    Deployment,
    Machine,
    Record,
    call,
    manifest,
    rollout_route,
    route,
    run_case,
)
from engine_standin import EngineStandin, item

SLOTS = 8
MODEL_ENGINES = 4
EARLIER_ITEMS = 40
ITEMS = 8
# The store is silent for one machine of three, for less than the 7 s that the
# site file names.
SILENCE_S = 5.0
# The trainer comes after config_apply_ms.
SUBMIT_AFTER_S = 2.1
READ_FOR_S = 30.0
_WATCHES = "Watches the store for its peers"
_LEAVES = "Leaves the watches to a peer"


def submission(prefix: str, count: int) -> bytes:
    """Returns a batch submission."""
    return json.dumps(
        {
            "step": 0,
            "model": "model",
            "min_version": 1,
            "target_groups": count // 4,
            "items": [item(number, prefix) for number in range(count)],
        }
    ).encode()


async def submit(
    log: Record, gateway: Machine, prefix: str, count: int
) -> None:
    """Submits a batch until it is accepted."""
    for _ in range(5):
        answer = await call(
            gateway,
            "POST",
            f"/{prefix}/1",
            f"batch-{prefix}",
            submission(prefix, count),
        )
        log(f"trainer got {answer.status} from {gateway.node} for {prefix}")
        if answer.status == 202:
            return
        await asyncio.sleep(0.3)
    raise CannotRunError(f"batch {prefix} was not accepted")


async def read_states(log: Record, gateway: Machine, prefix: str) -> list[str]:
    """Reads the results of a batch until all are there."""
    started = time.monotonic()
    states: list[str] = []
    while time.monotonic() - started < READ_FOR_S:
        answer = await call(
            gateway,
            "GET",
            f"/shallotstand/lots/batch-{prefix}?after={len(states)}",
            headers={"X-Shallotstand-Wait-Ms": "1000"},
        )
        if answer.status == 200:
            page = json.loads(answer.body)
            for result in page["results"]:
                states.append(result["state"])
                log(f"trainer reads {result['id']}: {result['state']}")
            if len(states) >= page["total"]:
                return states
        await asyncio.sleep(0.3)
    return states


def watcher_of(gateways: list[Machine]) -> Machine:
    """Returns the gateway that watches the store for the others."""
    for gateway in gateways:
        text = gateway.log_path.read_text("utf-8")
        if text.rfind(_WATCHES) > text.rfind(_LEAVES):
            return gateway
    raise CannotRunError("no gateway watches the store")


async def case(deployment: Deployment, log: Record, has_trouble: bool) -> bool:
    """Returns whether no item is lost before its time."""
    engines = [
        *(
            EngineStandin(
                f"model-{number}", "model-engines", log, event_count=200
            )
            for number in range(MODEL_ENGINES)
        ),
        EngineStandin("plain-0", "yard-desk", log),
    ]
    routes = [
        rollout_route("earlier"),
        route("score", "safe", "yard-desk", public=True),
    ]
    gateways = await deployment.start(routes, engines, gateway_count=2)
    await asyncio.sleep(3.0)
    stale = watcher_of(gateways)
    (other,) = (one for one in gateways if one is not stale)
    await submit(log, other, "earlier", EARLIER_ITEMS)
    await asyncio.sleep(1.5)
    if has_trouble:
        deployment.platform.silent_ports.add(stale.store_port)
        log(f"the store is silent for {stale.node}")
    deployment.platform.put(
        "config", "main", manifest(2, [*routes, rollout_route("later")])
    )
    log("the operator adds the route 'later'; the store has acknowledged it")
    await asyncio.sleep(SUBMIT_AFTER_S)
    submitted_at = time.monotonic()
    await submit(log, other, "later", ITEMS)
    await asyncio.sleep(SILENCE_S - SUBMIT_AFTER_S)
    deployment.platform.silent_ports.clear()
    log("the store answers all machines")
    states = await read_states(log, other, "later")
    age_s = time.monotonic() - submitted_at
    log(f"states after {age_s:.1f} s, item_ttl_s is 40: {states}")
    return "lost" not in states and len(states) == ITEMS


run_case(case, str(pathlib.Path(__file__).parent))

"""A manifest removes the route of an accepted batch submission."""

import asyncio
import base64
import pathlib

import orjson
from deployment import Deployment, Machine, Record, call, manifest, run_case
from engine_standin import Engine

ITEMS = 8
# `config_apply_ms` and `settle_ms` of the settings, and some room.
SETTLE_S = 2.0 + 1.0 + 0.5
READS = 4


def _submission() -> dict:
    return {
        "step": 0,
        "model": "model",
        "min_version": 1,
        "target_groups": 2,
        "items": [
            {
                "id": f"item-{number}",
                "path": f"/rollouts/3/{number}",
                "headers": {
                    "X-Shallotstand-Model": "model",
                    "X-Shallotstand-Token-Count": "271,280",
                },
                "body": base64.b64encode(b"prompt").decode(),
                "token_count": 551,
                "group": f"group-{number // 4}",
            }
            for number in range(ITEMS)
        ],
    }


async def _read(
    machine: Machine, after: int, record: Record
) -> tuple[int, list[dict]]:
    status, _, body = await call(
        machine,
        "GET",
        f"/shallotstand/lots/lot-1?after={after}",
        "read",
        headers={"X-Shallotstand-Wait-Ms": "1000"},
    )
    results = orjson.loads(body)["results"] if status == 200 else []
    record.add(
        "read",
        at=machine.node,
        after=after,
        status=status,
        results=len(results),
        body=body.decode()[:120] if status != 200 else "",
    )
    return status, results


async def play(
    directory: pathlib.Path, record: Record, trouble: bool
) -> list[str]:
    """Returns the reads that were answered 404 or lack what was read."""
    engines = [Engine(name, "drafters") for name in ("e1", "e2")]
    async with Deployment(directory, record, engines) as deployment:
        gateway = deployment.gateways[0]
        status, _, _ = await call(
            gateway,
            "POST",
            "/rollouts/1",
            "lot-1",
            orjson.dumps(_submission()),
        )
        record.add("submission answered", status=status)
        known: list[dict] = []
        for _ in range(30):
            known += (await _read(gateway, len(known), record))[1]
            if len(known) == ITEMS:
                break
            await asyncio.sleep(0.2)
        if len(known) < ITEMS:
            raise RuntimeError("the batch submission wasn't completed")
        if trouble:
            changed = manifest(2)
            changed["routes"] = [
                route
                for route in changed["routes"]
                if route["name"] != "rollouts"
            ]
            deployment.platform.put("config", "main", changed)
            record.add("manifest 2 acknowledged", removes="rollouts")
        await asyncio.sleep(SETTLE_S)
        broken = []
        for _ in range(READS):
            for machine in deployment.gateways:
                status, results = await _read(machine, 0, record)
                if status in (404, 410):
                    broken.append(
                        f"{machine.node} answers {status} for lot-1, whose "
                        f"{ITEMS} results had been read"
                    )
                elif status == 200 and results != known:
                    broken.append(f"{machine.node} returns other results")
            await asyncio.sleep(0.5)
        return broken


run_case(pathlib.Path(__file__).parent, play)

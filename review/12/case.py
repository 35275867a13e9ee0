"""Items whose headers name another tenant, in a batch submission."""

import asyncio
import base64
import pathlib

import orjson
from deployment import Deployment, Record, call, run_case
from engine_standin import Engine

OWN_TENANT = "hule930"
OTHER_TENANT = "fida11"
ITEMS = 4


def _submission(trouble: bool) -> dict:
    headers = {"X-Shallotstand-Model": "model"}
    if trouble:
        headers["X-Shallotstand-Tenant"] = OTHER_TENANT
    return {
        "step": 0,
        "model": "model",
        "min_version": 1,
        "target_groups": 1,
        "items": [
            {
                "id": f"item-{number}",
                "path": f"/rollouts/3/{number}",
                "headers": {
                    **headers,
                    "X-Shallotstand-Token-Count": "270,28",
                },
                "body": base64.b64encode(b"prompt").decode(),
                "token_count": 298,
                "group": "group-1",
            }
            for number in range(ITEMS)
        ],
    }


async def play(
    directory: pathlib.Path, record: Record, trouble: bool
) -> list[str]:
    """Submits a batch with a key of one tenant; returns foreign runs."""
    engines = [Engine(name, "drafters") for name in ("e1", "e2")]
    async with Deployment(directory, record, engines) as deployment:
        gateway, other = deployment.gateways
        submission = _submission(trouble)
        record.add("submitted", key_of=OWN_TENANT, items=submission["items"])
        status, _, _ = await call(
            gateway,
            "POST",
            "/rollouts/1",
            "lot-1",
            orjson.dumps(submission),
        )
        record.add("answered", status=status)
        results: list[dict] = []
        for _ in range(30):
            status, _, body = await call(
                other,
                "GET",
                f"/shallotstand/lots/lot-1?after={len(results)}",
                "read",
                headers={"X-Shallotstand-Wait-Ms": "1000"},
            )
            if status == 200:
                results += orjson.loads(body)["results"]
            if len(results) == ITEMS:
                break
            await asyncio.sleep(0.2)
        record.add(
            "results", states={one["id"]: one["state"] for one in results}
        )
        record.add_runs(engines)
        runs = [run for engine in engines for run in engine.runs]
        if not runs and not trouble:
            raise RuntimeError("no item ran")
        return [
            f"{run['engine']} ran {run['id']} of {OWN_TENANT} with "
            f"X-Shallotstand-Tenant {', '.join(run['tenants'])}"
            for run in runs
            if run["tenants"] != [OWN_TENANT]
        ]


run_case(pathlib.Path(__file__).parent, play)

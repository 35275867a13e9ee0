"""Engines break off some of their answers, which have no length."""

import asyncio
import base64
import pathlib

import orjson
from deployment import Deployment, Machine, Record, call, run_case
from raw_engine import RawEngine

# One of two engines of each service (share .5) breaks off 3 of 100 answers:
# at most share .6 and x .03 in the site file.
BREAK_EVERY = 34
REQUESTS = 1600
CLIENTS = 8
BATCHES = 4
ITEMS = 52


def _submission(number: int) -> dict:
    return {
        "step": number,
        "model": "model",
        "min_version": 1,
        "target_groups": ITEMS // 4,
        "items": [
            {
                "id": f"item-{number}-{item}",
                "path": f"/rollouts/3/{number}-{item}",
                "headers": {
                    "X-Shallotstand-Model": "model",
                    "X-Shallotstand-Token-Count": "271,280",
                },
                "body": base64.b64encode(b"prompt").decode(),
                "token_count": 551,
                "group": f"group-{number}-{item // 4}",
            }
            for item in range(ITEMS)
        ],
    }


async def _send_plain(
    machines: list[Machine],
    client: int,
    desk: list[RawEngine],
    record: Record,
) -> list[str]:
    """Sends requests; returns the successes with other bodies."""
    broken = []
    for number in range(REQUESTS // CLIENTS):
        attempt_id = f"r{client}-{number}"
        machine = machines[number % len(machines)]
        status, headers, body = await call(
            machine, "POST", "/quotes/1", attempt_id, b"question"
        )
        whole = desk[0].answer_to(attempt_id)
        if status != 200 or body != whole:
            record.add(
                "answered",
                at=machine.node,
                id=attempt_id,
                status=status,
                bytes=len(body),
                of=len(whole),
                headers=headers,
            )
        if status == 200 and body != whole:
            broken.append(
                f"{machine.node} answered {attempt_id} with 200 and "
                f"{len(body)} of {len(whole)} bytes"
            )
    return broken


async def _run_batches(
    machines: list[Machine], drafters: list[RawEngine], record: Record
) -> list[str]:
    """Submits batches; returns the results whose texts are not whole."""
    broken = []
    for number in range(BATCHES):
        batch = f"lot-{number}"
        status, _, _ = await call(
            machines[number % len(machines)],
            "POST",
            "/rollouts/1",
            batch,
            orjson.dumps(_submission(number)),
        )
        record.add("submission answered", id=batch, status=status)
        results: list[dict] = []
        for _ in range(60):
            status, _, body = await call(
                machines[0],
                "GET",
                f"/shallotstand/lots/{batch}?after={len(results)}",
                "read",
                headers={"X-Shallotstand-Wait-Ms": "1000"},
            )
            if status == 200:
                results += orjson.loads(body)["results"]
            if len(results) == ITEMS:
                break
            await asyncio.sleep(0.1)
        record.add("results", id=batch, read=len(results))
        for result in results:
            whole = drafters[0].item_text(result["id"])
            if result["state"] == "completed" and result["text"] != whole:
                lines = len(result["text"].split("\n"))
                broken.append(
                    f"{result['id']} is completed with {lines} of "
                    f"{drafters[0].event_count} events"
                )
    return broken


async def play(
    directory: pathlib.Path, record: Record, trouble: bool
) -> list[str]:
    """Returns the answers and results that are complete and aren't whole."""
    break_every = BREAK_EVERY if trouble else 0
    drafters = [
        RawEngine("e1", "drafters", break_every),
        RawEngine("e2", "drafters", 0),
    ]
    desk = [
        RawEngine("p1", "desk", break_every),
        RawEngine("p2", "desk", 0),
    ]
    engines = [*drafters, *desk]
    async with Deployment(directory, record, engines) as deployment:
        machines = deployment.gateways
        found = await asyncio.gather(
            _run_batches(machines, drafters, record),
            *(
                _send_plain(machines, client, desk, record)
                for client in range(CLIENTS)
            ),
        )
        for engine in engines:
            record.add(
                "engine",
                id=engine.name,
                runs=len(engine.runs),
                broken_off=[run for run in engine.runs if run["breaks_off"]],
            )
        return [line for lines in found for line in lines]


run_case(pathlib.Path(__file__).parent, play)

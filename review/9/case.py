"""An answer without end fills the memory of the gateway that reads it.

Two gateways serve a trainer that sends a batch every four seconds. With the
disruption, three of the five model engines spoil one in 34 of their answers:
they go on without end until the gateway closes the channel.
"""

import asyncio
import collections
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared2"))

from deployment import (
    MODEL,
    Deployment,
    Machine,
    Record,
    loopback_addresses,
    run_case,
    submission,
)
from engines import Engine

ITEMS = 52
BATCH_INTERVAL_S = 4.0
PLAY_S = 75.0
RESTART_S = 0.5
# Memory of a machine that takes callers; more than that ends its process.
MEMORY_MB = 300
SPOILT_ONE_IN = 34
# How many of the five model engines do so.
SPOILING_ENGINES = 3
# The rule: processes end by themselves three times, on two machines at least.
# Memory over the limit counts.
ENDS, ENDS_ON = 3, 2


def resident_mb(machine: Machine) -> float:
    """Returns the memory of a machine's process."""
    status = Path(f"/proc/{machine.process.pid}/status").read_text("utf-8")
    kilobytes = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("VmRSS:")
    )
    return int(kilobytes) / 1024


async def limit_memory(
    deployment: Deployment, ends: collections.Counter[str]
) -> None:
    """Does what the platform does with processes over their memory."""
    reported_at = 0.0
    while True:
        await asyncio.sleep(0.05)
        sizes = {
            machine.node: round(resident_mb(machine))
            for machine in deployment.machines
            if machine.is_running
        }
        if time.monotonic() - reported_at > 1.0:
            reported_at = time.monotonic()
            deployment.record.line(f"memory in MB: {sizes}")
        for machine in deployment.machines:
            if machine.is_running and sizes[machine.node] <= MEMORY_MB:
                continue
            if machine.is_running:
                machine.process.kill()
                await machine.process.wait()
            ends[machine.node] += 1
            deployment.record.line(
                f"{machine.node} has ended with {sizes.get(machine.node)} MB"
            )
            await asyncio.sleep(RESTART_S)
            await deployment.start_process(machine)


async def train(deployment: Deployment, gateways: list[Machine]) -> None:
    """Sends a batch every four seconds, by turns at the gateways."""
    turn = 0
    while True:
        name = f"lot-{turn}"
        body = submission(ITEMS, name)
        for attempt in range(3):
            gateway = gateways[(turn + attempt) % len(gateways)]
            status, _ = await deployment.call(
                gateway, "POST", "/lots/1", name, body
            )
            if status == 202:
                break
            await asyncio.sleep(0.3)
        turn += 1
        await asyncio.sleep(BATCH_INTERVAL_S)


async def main(record: Record, has_trouble: bool) -> bool:
    """Returns whether the rule was broken."""
    addresses = loopback_addresses()
    drafters = [
        Engine(
            f"i-draft{n}", "drafters", record.line, model=MODEL, pause_s=0.02
        )
        for n in range(5)
    ]
    desks = [
        Engine(f"i-desk{n}", "desk", record.line, slots=6, pause_s=0.04)
        for n in range(4)
    ]
    gateways = [
        Machine(f"edge-a-{n}", "gateway", next(addresses)) for n in (1, 2)
    ]
    machines = [*gateways, Machine("storage-a-1", "keeper", next(addresses))]
    ends: collections.Counter[str] = collections.Counter()
    answers = 0

    def is_endless(_: str) -> bool:
        nonlocal answers
        answers += 1
        return has_trouble and answers % SPOILT_ONE_IN == 1

    async with Deployment(record, drafters + desks, machines) as deployment:
        await asyncio.sleep(4.0)
        for engine in drafters[:SPOILING_ENGINES]:
            engine.is_endless = is_endless
        tasks = [
            asyncio.create_task(task)
            for task in (
                limit_memory(deployment, ends),
                train(deployment, gateways),
            )
        ]
        until = time.monotonic() + PLAY_S
        while time.monotonic() < until:
            await asyncio.sleep(1.0)
            for task in tasks:
                if task.done():
                    task.result()
        for task in tasks:
            task.cancel()
        record.line(f"ends by machine: {dict(ends)}")
    return sum(count >= ENDS for count in ends.values()) >= ENDS_ON


run_case(main, __file__)

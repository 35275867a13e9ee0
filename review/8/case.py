"""A spoilt version number in an event ends the gateway that reads it.

Two gateways serve a trainer that sends a batch every four seconds, and callers
of a plain service. With the disruption, three of the five model engines spoil
one in 34 of their answers: one event names a version that is no version.
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
PLAY_S = 60.0
# The pause of the platform before it starts a process again.
RESTART_S = 0.5
# One in this many answers of the model engines is spoilt.
SPOILT_ONE_IN = 34
# How many of the five model engines do so.
SPOILING_ENGINES = 3
SPOILT_EVENT = 10
SPOILT_LINE = b"x-shallotstand-weight-versions: 99999999999999999999\n"
# The rule: processes end by themselves three times, on two machines at least.
ENDS, ENDS_ON = 3, 2


class Spoiler:
    """Spoils an event of one in 34 answers."""

    def __init__(self, record: Record):
        self._record = record
        self._answers = 0

    def spoil(self, attempt_id: str, number: int, event: bytes) -> bytes:
        """Returns the bytes of an event."""
        if number != SPOILT_EVENT:
            return event
        self._answers += 1
        if self._answers % SPOILT_ONE_IN != 1:
            return event
        self._record.line(f"spoils event {number} of {attempt_id}")
        return SPOILT_LINE + event


async def restart_ended(
    deployment: Deployment, ends: collections.Counter[str]
) -> None:
    """Does what the platform does with processes that end by themselves."""
    while True:
        await asyncio.sleep(0.1)
        for machine in deployment.machines:
            if machine.is_running:
                continue
            ends[machine.node] += 1
            deployment.record.line(
                f"{machine.node} has ended by itself with exit code "
                f"{machine.process.returncode}"
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


async def ask(deployment: Deployment, gateway: Machine) -> None:
    """Sends a plain request every half second."""
    turn = 0
    while True:
        await deployment.call(
            gateway,
            "POST",
            "/quote/1",
            f"q-{gateway.node}-{turn}",
            b"ask",
            1500,
        )
        turn += 1
        await asyncio.sleep(0.5)


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
    async with Deployment(record, drafters + desks, machines) as deployment:
        await asyncio.sleep(4.0)
        if has_trouble:
            spoiler = Spoiler(record)
            for engine in drafters[:SPOILING_ENGINES]:
                engine.spoil = spoiler.spoil
        tasks = [
            asyncio.create_task(task)
            for task in (
                restart_ended(deployment, ends),
                train(deployment, gateways),
                *(ask(deployment, gateway) for gateway in gateways),
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
        for machine in machines:
            for line in deployment.log_lines(machine):
                if "A task has failed" in line:
                    record.line(f"log of {machine.node}: {line}")
        record.line(f"ends by machine: {dict(ends)}")
    return sum(count >= ENDS for count in ends.values()) >= ENDS_ON


run_case(main, __file__)

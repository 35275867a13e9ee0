"""A batch that has been ended runs when a gateway reads it afterwards.

The channel between two gateways is reset while one of them accepts a batch that
the other one is to run. The batch is ended at once. Later another caller of the
tenant reads it at the gateway that was to run it.
"""

import asyncio
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
SETTLE_S = 5.0
# When the batch is ended, after it was accepted.
END_AFTER_S = 0.3
# When another caller reads it, after the end was acknowledged. This is longer
# than `contact_ms` and `cancel_ms`.
READ_AFTER_S = 6.0
CANCEL_S = 3.0
WATCH_S = 4.0


def watches(deployment: Deployment, machine: Machine) -> bool:
    """Returns whether a gateway watches the store for the others."""
    text = deployment.log_text(machine)
    return text.rfind("Watches the store for its peers") > text.rfind(
        "Leaves the watches to a peer"
    )


async def choose_watcher(
    deployment: Deployment, watcher: Machine, gateways: list[Machine]
) -> None:
    """Restarts the gateways until a certain one watches the store for them.

    Which one does follows from identifiers that processes draw at their start.
    """
    for _ in range(12):
        await asyncio.sleep(SETTLE_S)
        if [one for one in gateways if watches(deployment, one)] == [watcher]:
            return
        for machine in gateways:
            machine.process.kill()
            await machine.process.wait()
            await deployment.start_process(machine)
        await asyncio.gather(*map(deployment.wait_until_ready, gateways))
    raise RuntimeError("another gateway goes on watching the store")


async def main(record: Record, has_trouble: bool) -> bool:
    """Returns whether the rule was broken."""
    addresses = loopback_addresses()
    engines = [
        Engine(f"i-draft{n}", "drafters", record.line, model=MODEL)
        for n in range(3)
    ] + [Engine("i-desk0", "desk", record.line, slots=6, pause_s=0.04)]
    # The machines differ in size, as on the grown deployments.
    small = Machine("edge-a-1", "gateway", next(addresses), cpu_share=0.387)
    large = Machine("edge-a-2", "gateway", next(addresses), cpu_share=2.15)
    other = Machine("edge-b-1", "gateway", next(addresses), "zone-b")
    keeper = Machine("storage-a-1", "keeper", next(addresses))
    machines = [small, large, other, keeper]
    async with Deployment(
        record, engines, machines, has_proxies=True
    ) as deployment:
        await choose_watcher(deployment, other, [small, large, other])
        if has_trouble:
            count = large.peer_proxy.reset_open()
            record.line(f"{count} channels of {large.node} to peers reset")
        status, _ = await deployment.call(
            small, "POST", "/lots/1", "lot-1", submission(ITEMS, "lot-1")
        )
        if status != 202:
            raise RuntimeError(f"the batch was answered {status}")
        await asyncio.sleep(END_AFTER_S)
        status, _ = await deployment.call(
            small, "DELETE", "/shallotstand/lots/lot-1", "end-1"
        )
        if status != 200:
            raise RuntimeError(f"the end was answered {status}")
        ended_at = time.monotonic()
        await asyncio.sleep(READ_AFTER_S)
        await deployment.call(
            large, "GET", "/shallotstand/lots/lot-1?after=0", "read-1"
        )
        await asyncio.sleep(WATCH_S)
        late = [
            run[1]
            for engine in engines
            for run in engine.runs
            if run[0] > ended_at + CANCEL_S
        ]
        for machine in (small, large, other):
            for line in deployment.log_lines(machine):
                if '"batch": "lot-1"' in line and '"item"' not in line:
                    record.line(f"log of {machine.node}: {line}")
    record.line(f"runs of the ended batch after cancel_ms: {len(late)}")
    return bool(late)


run_case(main, __file__)

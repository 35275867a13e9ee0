"""One run: a fleet, its load, and the faults of a seed."""

import asyncio
import contextlib
import pathlib
import signal
import time
from typing import NamedTuple

from shallotstand.standins.fleet import Fleet, Machine

from soak.checks import violations
from soak.load import Load
from soak.proxy import Mode, Proxy
from soak.schedule import Event, Fault, draw

# Time without faults at the end, in which everything has to become right.
CALM_S = 12.0
LOST_WRITES = 4
VERSION_EVERY_S = 3.0
_MODE_BY_FAULT = {
    Fault.DELAY: Mode.DELAY,
    Fault.CUT: Mode.CUT,
    Fault.SILENT: Mode.SILENT,
    Fault.ONE_WAY: Mode.ONE_WAY,
}


class Outcome(NamedTuple):
    """What a run showed.

    Attributes:
      seed: Its seed.
      duration_s: Seconds it took.
      faults: Faults that were injected.
      answered: Plain calls that succeeded.
      batches: Batches that were accepted.
      violations: Promises that were broken.
    """

    seed: int
    duration_s: float
    faults: int
    answered: int
    batches: int
    violations: list[str]


async def run(seed: int, faulty_s: float, directory: pathlib.Path) -> Outcome:
    """Runs the programs under the faults of a seed and checks them."""
    started = time.monotonic()
    async with Fleet(directory, gateways=3) as fleet:
        soak = Soak(fleet, seed)
        await soak.connect()
        events = draw(seed, faulty_s, len(soak.machines))
        load = Load(fleet, seed)
        until = asyncio.get_running_loop().time() + faulty_s
        async with asyncio.TaskGroup() as group:
            group.create_task(load.train(until))
            group.create_task(load.train(until))
            group.create_task(load.call_plain(until))
            group.create_task(soak.name_versions(until))
            for event in events:
                group.create_task(soak.inject(event))
        await soak.calm(load)
        broken = violations(fleet, load)
        soak.close()
    return Outcome(
        seed,
        round(time.monotonic() - started, 1),
        len(events),
        sum(told.status == 200 for told in load.told),
        len(load.accepted),
        broken,
    )


class Soak:
    """Injects faults into a fleet."""

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._seed = seed
        self._proxies: list[Proxy] = []
        self._down = 0
        self.machines: list[Machine] = [*fleet.gateways, *fleet.keepers]

    async def connect(self) -> None:
        """Starts every process anew behind a proxy of its own."""
        for machine in self.machines:
            proxy = Proxy(self._fleet.address)
            await proxy.start()
            self._proxies.append(proxy)
            await machine.end(signal.SIGKILL)
            await machine.start(proxy.address)

    def close(self) -> None:
        """Ends the proxies."""
        for proxy in self._proxies:
            proxy.stop()

    async def inject(self, event: Event) -> None:
        """Waits for a fault's time, injects it and ends it."""
        await asyncio.sleep(event.at_s)
        documents = self._fleet.platform.documents
        if event.fault is Fault.STORE_LOSES:
            documents.lost_writes += LOST_WRITES
        elif event.fault is Fault.HISTORY:
            documents.drop_history()
        elif event.fault is Fault.STORE_DOWN:
            self._down += 1
            documents.set_down(True)
            await asyncio.sleep(event.for_s)
            self._down -= 1
            documents.set_down(self._down > 0)
        elif event.fault is Fault.KILL_ALL:
            await asyncio.gather(
                *(
                    self._restart(number, signal.SIGKILL, event.for_s)
                    for number in range(len(self.machines))
                )
            )
        elif event.fault in _MODE_BY_FAULT:
            await self._disturb(event)
        else:
            await self._signal(event)

    async def name_versions(self, until: float) -> None:
        """Names a new version of the weights every few seconds."""
        version = 1
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(VERSION_EVERY_S)
            version += 1
            with contextlib.suppress(AttributeError):
                await self._fleet.platform.put(
                    "versions", "model", {"model": "model", "version": version}
                )

    async def calm(self, load: Load) -> None:
        """Leaves time without faults, then reads on what is not whole."""
        documents = self._fleet.platform.documents
        documents.lost_writes = 0
        documents.set_down(False)
        for proxy in self._proxies:
            proxy.set_mode(Mode.PASS)
        loop = asyncio.get_running_loop()
        until = loop.time() + CALM_S
        await asyncio.gather(
            *(load.read_on(name, until) for name in load.accepted)
        )

    async def _disturb(self, event: Event) -> None:
        proxy = self._proxies[event.target]
        proxy.set_mode(_MODE_BY_FAULT[event.fault])
        await asyncio.sleep(event.for_s)
        proxy.set_mode(Mode.CUT)
        proxy.set_mode(Mode.PASS)

    async def _signal(self, event: Event) -> None:
        if event.fault is Fault.PAUSE:
            process = self.machines[event.target].process
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(event.for_s)
                process.send_signal(signal.SIGCONT)
            return
        number = signal.SIGKILL if event.fault is Fault.KILL else signal.SIGTERM
        await self._restart(event.target, number, event.for_s)

    async def _restart(
        self, target: int, number: signal.Signals, pause_s: float
    ) -> None:
        machine = self.machines[target]
        process = machine.process
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.send_signal(number)
        await process.wait()
        await asyncio.sleep(pause_s)
        if machine.process is process:
            await machine.start(self._proxies[target].address, False)

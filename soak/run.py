"""One soak run: a fleet under load and the faults drawn from a seed."""

import asyncio
import contextlib
import pathlib
import signal
import time
from typing import NamedTuple

from shallotstand.standins.fleet import Fleet, Machine
from shallotstand.standins.fleet_engine import FleetEngine
from shallotstand.standins.proxy import Mode, Proxy

from soak.checks import find_violations
from soak.departures import let_engines_leave
from soak.load import LoadGenerator
from soak.schedule import Fault, FaultEvent, draw_faults
from soak.streams import ENGINES_PER_VERSION, make_writers

# Time without faults at the end of a run, within which every accepted batch
# has to be completed.
RECOVERY_S = 12.0
LOST_ANSWERS_PER_FAULT = 4
VERSION_INTERVAL_S = 3.0
STREAM_READERS = 4
EVENTS_UNTIL_BREAK = 7
_MODE_BY_FAULT = {
    Fault.DELAY: Mode.DELAY,
    Fault.CUT: Mode.CUT,
    Fault.SILENT: Mode.SILENT,
    Fault.ONE_WAY: Mode.ONE_WAY,
}


class Outcome(NamedTuple):
    """The result of a run, printed as one JSON line.

    Attributes:
      seed: The seed of the run.
      duration_s: How long the run took, in seconds.
      faults: Number of faults injected.
      answered: Number of plain calls that succeeded.
      batches: Number of batches accepted.
      streams: Number of streams that were read to the end.
      violations: Guarantees that were violated.
    """

    seed: int
    duration_s: float
    faults: int
    answered: int
    batches: int
    streams: int
    violations: list[str]


async def run_soak(
    seed: int, faulty_s: float, directory: pathlib.Path
) -> Outcome:
    """Runs the programs under the faults of a seed and checks the results."""
    started = time.monotonic()
    checks_fences = seed % 2 == 0
    writers = make_writers()
    # One engine of each version breaks its streams off.
    for engine in writers[::ENGINES_PER_VERSION]:
        engine.events_until_break = EVENTS_UNTIL_BREAK
    second_plain = FleetEngine("p2", pause_s=0.01, service="plain")
    engines = (*writers, second_plain)
    async with Fleet(directory, 3, checks_fences, engines) as fleet:
        injector = FaultInjector(fleet, seed)
        await injector.restart_behind_proxies()
        events = draw_faults(seed, faulty_s, len(injector.machines))
        load = LoadGenerator(fleet, seed)
        deadline = asyncio.get_running_loop().time() + faulty_s
        async with asyncio.TaskGroup() as group:
            group.create_task(load.submit_batches(deadline))
            group.create_task(load.submit_batches(deadline))
            group.create_task(load.send_plain_calls(deadline))
            for _ in range(STREAM_READERS):
                group.create_task(load.read_streams(deadline))
            group.create_task(injector.publish_versions(deadline))
            group.create_task(
                let_engines_leave(
                    fleet, [fleet.plain_engine, second_plain], seed, deadline
                )
            )
            for event in events:
                group.create_task(injector.inject(event))
        await injector.await_recovery(load)
        violations = find_violations(
            fleet, load, injector.resumed_at, injector.interrupted_at
        )
        injector.close()
    return Outcome(
        seed,
        round(time.monotonic() - started, 1),
        len(events),
        sum(result.status == 200 for result in load.call_results),
        len(load.accepted_batches),
        sum(client.is_whole for client in load.streams),
        violations,
    )


class FaultInjector:
    """Injects faults into the processes, their connections and the store.

    Attributes:
      machines: The machines whose processes are disturbed.
      resumed_at: Machines that were paused or whose link had a fault, with
        the monotonic time at which that ended.
      interrupted_at: Machines whose process was paused or ended, with the
        monotonic time.
    """

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._seed = seed
        self._proxies: list[Proxy] = []
        self._active_outages = 0
        self.resumed_at: list[tuple[str, float]] = []
        self.interrupted_at: list[tuple[str, float]] = []
        self.machines: list[Machine] = [*fleet.gateways, *fleet.keepers]

    async def restart_behind_proxies(self) -> None:
        """Restarts every process so that it connects through its own proxy."""
        for machine in self.machines:
            proxy = Proxy(self._fleet.address)
            await proxy.start()
            self._proxies.append(proxy)
            await machine.stop(signal.SIGKILL)
            await machine.start(proxy.address)

    def close(self) -> None:
        """Stops the proxies."""
        for proxy in self._proxies:
            proxy.stop()

    async def inject(self, event: FaultEvent) -> None:
        """Waits until a fault is due, injects it and ends it."""
        await asyncio.sleep(event.starts_at_s)
        documents = self._fleet.platform.documents
        if event.fault is Fault.STORE_LOSES_ANSWERS:
            documents.lost_answers += LOST_ANSWERS_PER_FAULT
        elif event.fault is Fault.HISTORY_DROPPED:
            documents.drop_history()
        elif event.fault is Fault.STORE_DOWN:
            self._active_outages += 1
            documents.set_down(True)
            await asyncio.sleep(event.duration_s)
            self._active_outages -= 1
            documents.set_down(self._active_outages > 0)
        elif event.fault is Fault.KILL_ALL:
            await asyncio.gather(
                *(
                    self._restart(index, signal.SIGKILL, event.duration_s)
                    for index in range(len(self.machines))
                )
            )
        elif event.fault in _MODE_BY_FAULT:
            await self._disturb_connections(event)
        else:
            await self._signal_process(event)

    async def publish_versions(self, deadline: float) -> None:
        """Publishes a new version of the weights every few seconds."""
        version = 1
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(VERSION_INTERVAL_S)
            version += 1
            with contextlib.suppress(AttributeError):
                await self._fleet.platform.put(
                    "versions", "model", {"model": "model", "version": version}
                )

    async def await_recovery(self, load: LoadGenerator) -> None:
        """Ends all faults and reads the accepted batches to the end."""
        documents = self._fleet.platform.documents
        documents.lost_answers = 0
        documents.set_down(False)
        for proxy in self._proxies:
            proxy.set_mode(Mode.PASS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECOVERY_S
        await asyncio.gather(
            *(
                load.read_results(batch_id, deadline)
                for batch_id in load.accepted_batches
            )
        )

    async def _disturb_connections(self, event: FaultEvent) -> None:
        proxy = self._proxies[event.target]
        proxy.set_mode(_MODE_BY_FAULT[event.fault])
        await asyncio.sleep(event.duration_s)
        proxy.heal()
        self._record_resumption(event.target)

    def _record_resumption(self, target: int) -> None:
        self.resumed_at.append((self.machines[target].node, time.monotonic()))

    def _record_interruption(self, target: int) -> None:
        node = self.machines[target].node
        self.interrupted_at.append((node, time.monotonic()))

    async def _signal_process(self, event: FaultEvent) -> None:
        if event.fault is Fault.PAUSE:
            process = self.machines[event.target].process
            self._record_interruption(event.target)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(event.duration_s)
                process.send_signal(signal.SIGCONT)
                self._record_resumption(event.target)
            return
        signal_number = (
            signal.SIGKILL if event.fault is Fault.KILL else signal.SIGTERM
        )
        await self._restart(event.target, signal_number, event.duration_s)

    async def _restart(
        self, target: int, signal_number: signal.Signals, pause_s: float
    ) -> None:
        machine = self.machines[target]
        process = machine.process
        self._record_interruption(target)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)
        await process.wait()
        await asyncio.sleep(pause_s)
        if machine.process is process:
            await machine.start(self._proxies[target].address, False)

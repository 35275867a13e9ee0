"""Cost of control at a sidecar and an entry, by the number of their peers.

Real programs run on loopback; this process plays their peers. No request is
sent, so everything that is measured is control. One JSON line is written for
each figure.
"""

import asyncio
import itertools
import json
import pathlib
import tempfile

import uvloop
from shallotstand.core.clock import SystemClock
from shallotstand.link.messages import (
    EndpointInfo,
    EndpointLoad,
    Hello,
    Load,
    LoadSample,
    LoadSamples,
    Peer,
)
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
    ProcessIdentity,
)
from shallotstand.standins.processes import Program, free_address

from measure.use import Slope, fit, use_over

SECONDS = 10.0
SETTLE_S = 3.0
SIDECAR_PEERS = (3, 6, 12, 24)
ENTRY_SIDECARS = (25, 50, 100, 200)
ENGINES_PER_SIDECAR = 8
TWO_YEAR_PEERS = 24
TWO_YEAR_SIDECARS = 370
CORE_SHARE_BOUND = 0.016
MEMORY_BOUND_MB = 64.0
BYTES_BOUND = 5000.0


class PeerStub:
    """Plays an entry or controller, or a sidecar, of the measured program."""

    def __init__(self, process_id: str, role: str, port: int = 0):
        address = None
        if port:
            address = Peer(process_id, role, "zone-a", "127.0.0.1", port)
        identity = ProcessIdentity(
            process_id, role, "zone-a", process_id + "-1", address
        )
        self.peer_connections = PeerConnectionManager(
            identity, self.serve, SystemClock(), self.describe
        )
        self.bytes_received = 0

    def describe(self, hello: Hello) -> Hello:
        """Adds engines to the Hello of a sidecar."""
        if hello.role != "sidecar":
            return hello
        return hello._replace(
            roster=(),
            endpoints=tuple(
                EndpointInfo(f"{hello.process_id}-{i}", "m", "zone-a", "1", "")
                for i in range(ENGINES_PER_SIDECAR)
            ),
        )

    async def serve(self, peer: PeerConnection) -> None:
        """Reads messages; a sidecar also reports its load each second."""
        report = None
        if self.peer_connections.identity.role == "sidecar":
            report = asyncio.create_task(self._report(peer))
        async for _ in peer.messages():
            pass
        if report:
            report.cancel()

    async def _report(self, peer: PeerConnection) -> None:
        name = self.peer_connections.identity.process_id
        peer.send(
            Load(
                tuple(
                    EndpointLoad(f"{name}-{i}", slots=64, version="v1")
                    for i in range(ENGINES_PER_SIDECAR)
                )
            )
        )
        for count in itertools.count(1):
            await asyncio.sleep(1.0)
            peer.send(
                LoadSamples(
                    tuple(
                        LoadSample(i, count % 50 + 1, 0, 1000)
                        for i in range(ENGINES_PER_SIDECAR)
                    ),
                    tuple(range(ENGINES_PER_SIDECAR)),
                    tuple(range(count, count + ENGINES_PER_SIDECAR)),
                )
            )

    def traffic(self) -> int:
        """Returns the bytes exchanged with the measured program.

        The stubs also learn of each other and connect.
        """
        return sum(
            peer.link.bytes_sent + peer.link.bytes_received
            for process_id, peer in (
                self.peer_connections.connections_by_id.items()
            )
            if process_id in ("sidecar-1", "entry-1")
        )


async def measure_sidecar(folder: pathlib.Path, peers: int) -> dict:
    """Measures a sidecar with eight engines and this many peers."""
    engine_port, *ports = (free_address().port for _ in range(peers + 1))
    stubs = [
        PeerStub(f"peer-{i}", "entry" if i < peers / 2 else "controller", port)
        for i, port in enumerate(ports)
    ]
    for stub in stubs:
        await stub.peer_connections.listen()
    engines = "".join(
        f'[[endpoint]]\nname = "e{i}"\nservice = "m"\n'
        f'url = "http://127.0.0.1:{engine_port}"\n'
        for i in range(ENGINES_PER_SIDECAR)
    )
    addresses = ", ".join(f'"127.0.0.1:{port}"' for port in ports)
    engine = await _serve_load_reports(engine_port)
    settings = (
        f'process_id = "sidecar-1"\nzone = "zone-a"\npeers = [{addresses}]\n'
        f"{engines}"
    )
    program = await Program.start(
        f"sidecar-{peers}", "shallotstand.sidecar.main", settings, folder
    )
    try:
        point = await _measure_connected(program, stubs)
    finally:
        await program.stop()
    for stub in stubs:
        await stub.peer_connections.close()
    await engine.cleanup()
    return {"peers": peers} | point


async def _measure_connected(program: Program, stubs: list[PeerStub]) -> dict:
    """Measures a program once its stubs have connected."""
    await asyncio.sleep(SETTLE_S)
    connected = sum(
        bool(stub.peer_connections.connections_by_id) for stub in stubs
    )
    before = sum(stub.traffic() for stub in stubs)
    use = await use_over(program.process.pid, SECONDS)
    traffic = sum(stub.traffic() for stub in stubs) - before
    return {
        "connected": connected,
        "core_share": use.core_share,
        "resident_mb": use.resident_mb,
        "bytes_per_s": traffic / SECONDS,
    }


async def _serve_load_reports(port: int):
    """Answers load requests as an engine whose state always changes."""
    from aiohttp import web

    count = 0

    async def load(_: web.Request) -> web.Response:
        nonlocal count
        count += 1
        return web.json_response(
            {
                "incarnation": "1",
                "running": count % 50,
                "queued": 0,
                "slots": 64,
                "free_blocks": 1000,
                "version": "v1",
                "added": [count, count + 1],
                "evicted": [],
            }
        )

    app = web.Application()
    app.router.add_get("/load", load)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def measure_entry(folder: pathlib.Path, sidecars: int) -> dict:
    """Measures an entry with this many sidecars of eight engines each."""
    listen, peer_listen = free_address(), free_address()
    settings = (
        f'process_id = "entry-1"\nzone = "zone-a"\n'
        f'listen = "{listen}"\n'
        f'peer_listen = "{peer_listen}"\n'
        f'entries = ["{peer_listen}"]\n'
        f'store_url = "http://127.0.0.1:9"\n'
    )
    stubs = [PeerStub(f"sidecar-{i}", "sidecar") for i in range(sidecars)]
    program = await Program.start(
        f"entry-{sidecars}", "shallotstand.entry.main", settings, folder
    )
    try:
        idle = await use_over(program.process.pid, SETTLE_S)
        for stub in stubs:
            stub.peer_connections.maintain_connection(*peer_listen)
        point = await _measure_connected(program, stubs)
    finally:
        await program.stop()
    for stub in stubs:
        await stub.peer_connections.close()
    return {
        "sidecars": sidecars,
        "idle_core_share": idle.core_share,
    } | point


def _slope(points: list[dict], size: str, value: str) -> Slope:
    return fit([(point[size], point[value]) for point in points])


def _figure(name: str, unit: str, value: float, target: float | None) -> None:
    line = {"name": name, "unit": unit, "value": round(value, 5)}
    if target is not None:
        line |= {"target": target, "met": value <= target}
    print(json.dumps(line), flush=True)


async def run() -> None:
    """Measures both programs and prints points, slopes and projections."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        sidecar = [await measure_sidecar(folder, n) for n in SIDECAR_PEERS]
        entry = [await measure_entry(folder, n) for n in ENTRY_SIDECARS]
    for point in (*sidecar, *entry):
        print(json.dumps(point), flush=True)
    bounds = {
        "core_share": ("cores", CORE_SHARE_BOUND),
        "resident_mb": ("MB", MEMORY_BOUND_MB),
        "bytes_per_s": ("B/s", BYTES_BOUND),
    }
    for value, (unit, bound) in bounds.items():
        slope = _slope(sidecar, "peers", value)
        _figure(f"sidecar.{value}.per_peer", unit, slope.per_unit, None)
        _figure(f"sidecar.{value}.at_24", unit, slope.at(TWO_YEAR_PEERS), bound)
        slope = _slope(entry, "sidecars", value)
        _figure(f"entry.{value}.per_sidecar", unit, slope.per_unit, None)
        _figure(
            f"entry.{value}.at_370", unit, slope.at(TWO_YEAR_SIDECARS), None
        )


if __name__ == "__main__":
    uvloop.install()
    asyncio.run(run())

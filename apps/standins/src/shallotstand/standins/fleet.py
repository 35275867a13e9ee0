"""A small deployment: the real programs over stand-ins of the platform."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

import aiohttp
from shallotstand.standins.fleet_engine import FleetEngine
from shallotstand.standins.fleet_platform import FleetPlatform
from shallotstand.standins.processes import free_address

HOST = "fleet.example"
WINDOW_S = 2
START_TIMEOUT_S = 15.0

BOOT = """
node = "{node}"
zone = "zone-a"
ip = "127.0.0.1"
internal_ports = [{peers}, {peers}]
[listen]
{listen}
[bounds]
grace_s = 8
status_ttl_s = 120
report_window_s = {window}
[platform]
address = "{platform}"
[cloud]
address = "{platform}"
"""


class Machine:
    """One machine and the process that runs on it."""

    def __init__(self, node: str, role: str, directory: pathlib.Path):
        self.node = node
        self.role = role
        self.front = free_address()
        self.ready = free_address()
        self.peers = free_address()
        self._directory = directory
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, platform: str, is_awaited: bool = True) -> None:
        """Starts the process.

        Args:
          platform: Address of the platform.
          is_awaited: Whether to wait until a gateway is ready.
        """
        listen = ""
        if self.role == "gateway":
            listen = f'front = "{self.front}"\nready = "{self.ready}"'
        path = self._directory / f"{self.node}.toml"
        path.write_text(
            BOOT.format(
                node=self.node,
                peers=self.peers.port,
                listen=listen,
                window=WINDOW_S,
                platform=platform,
            )
        )
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"shallotstand.{self.role}.main",
                env={**os.environ, "SHALLOTSTAND_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )
        if self.role == "gateway" and is_awaited:
            await self._wait_ready()

    async def _wait_ready(self) -> None:
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    url = f"http://{self.ready}/shallotstand/readiness"
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    @property
    def log_path(self) -> pathlib.Path:
        """File with what the process logged."""
        return self._directory / f"{self.node}.log"

    async def end(self, number: signal.Signals) -> int:
        """Sends a signal and waits for the end."""
        self.process.send_signal(number)
        return await self.process.wait()


class Fleet:
    """Platform, engines, gateways and keepers on loopback."""

    def __init__(self, directory: pathlib.Path, gateways: int = 2):
        self.platform = FleetPlatform()
        self.engines = [FleetEngine("e1"), FleetEngine("e2")]
        self.plain = FleetEngine("p1", pause_s=0.01)
        self.gateways = [
            Machine(f"gateway-{n}", "gateway", directory)
            for n in range(gateways)
        ]
        self.keepers = [
            Machine(f"keeper-{n}", "keeper", directory) for n in range(2)
        ]
        self.address = ""
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        self.address = await self.platform.start()
        await self.platform.put("config", "main", configuration(1))
        for engine in (*self.engines, self.plain):
            address = await engine.start()
            is_plain = engine is self.plain
            await self.platform.put(
                "servers", engine.name, entry(address, is_plain)
            )
        await asyncio.gather(
            *(
                machine.start(self.address)
                for machine in (*self.gateways, *self.keepers)
            )
        )
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        for machine in (*self.gateways, *self.keepers):
            if machine.process and machine.process.returncode is None:
                await machine.end(signal.SIGKILL)
        for engine in (*self.engines, self.plain):
            await engine.stop()
        await self.platform.stop()

    async def call(
        self,
        gateway: Machine,
        method: str,
        path: str,
        request_id: str = "r1",
        body: bytes = b"",
        key: str = "key-1",
    ) -> tuple[int, bytes]:
        """Makes a caller's call on a connection of its own."""
        async with self.session.request(
            method,
            f"http://{gateway.front}{path}",
            data=body,
            headers={
                "Host": HOST,
                "Authorization": f"Token {key}",
                "Connection": "close",
                "X-Shallotstand-Attempt-Id": request_id,
                "X-Shallotstand-Deadline-Ms": "4000",
                "X-Shallotstand-Wait-Ms": "200",
            },
        ) as response:
            return response.status, await response.read()

    async def until(self, condition, timeout_s: float = 15.0) -> None:
        """Waits until a condition holds."""
        started = time.monotonic()
        while not condition():
            assert time.monotonic() - started < timeout_s
            await asyncio.sleep(0.05)


def results_path(batch_id: str, after: int) -> str:
    """Returns the path of a read of a batch's results from a position on."""
    return f"/shallotstand/lots/{batch_id}?after={after}"


def configuration(version: int, keys: tuple[str, ...] = ("key-1",)) -> dict:
    """Returns the operator's configuration."""
    common = {"host": HOST, "timeout_ms": 2000, "target_latency_ms": 200}
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "rollouts",
                "path_prefix": "/rollouts/",
                "kind": "rollout",
                "service": "engines",
                "max_attempts": 3,
                "result_due_ms": 5000,
                "item_ttl_s": 30,
            },
            {
                **common,
                "name": "plain",
                "path_prefix": "/plain/",
                "kind": "safe",
                "service": "plain",
                "max_attempts": 2,
            },
            {
                **common,
                "name": "once",
                "path_prefix": "/once/",
                "kind": "unsafe",
                "service": "plain",
                "max_attempts": 2,
            },
            {
                **common,
                "name": "scores",
                "path_prefix": "/scores/",
                "kind": "safe",
                "service": "plain",
                "max_attempts": 4,
                "public": True,
            },
        ],
        "services": [],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "account", "api_keys": list(keys)}],
    }


def entry(address: str, is_plain: bool) -> dict:
    """Returns an engine's entry in the platform's list."""
    return {
        "service": "plain" if is_plain else "engines",
        "address": address,
        "zone": "zone-a",
        "slots": 8,
        "state": "ready",
        "born": 1700000000000,
        "models": [] if is_plain else [{"name": "model", "version": 1}],
        "seq": 1,
    }


def batch(items: int, min_version: int = 1, name: str = "") -> dict:
    """Returns a trainer's submission.

    Args:
      items: Number of its items.
      min_version: Oldest version that may generate them.
      name: Beginning of their identifiers.
    """
    return {
        "step": 1,
        "model": "model",
        "min_version": min_version,
        "target_groups": 1,
        "items": [
            {
                "id": f"{name}item-{number}",
                "path": f"/rollouts/1/{number}",
                "headers": {"X-Shallotstand-Model": "model"},
                "body": "q83v",
                "token_count": 9,
                "group": f"group-{number // 2}",
                "scorer": {
                    "id": f"{name}score-{number}",
                    "host": HOST,
                    "path": "/scores/1",
                    "body": "3q2+",
                },
            }
            for number in range(items)
        ],
    }

"""A small deployment of the real programs on stand-ins of the platform."""

import asyncio
import contextlib
import functools
import os
import pathlib
import signal
import sys
import time
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp
from shallotstand.standins.fleet_engine import FleetEngine
from shallotstand.standins.fleet_platform import FleetPlatform
from shallotstand.standins.processes import free_address
from shallotstand.standins.proxy import Proxy

HOST = "fleet.example"
WINDOW_S = 2
# Seconds within which two instances must not perform the duties by turns.
TURN_INTERVAL_S = 3.0
START_TIMEOUT_S = 15.0

BOOT_TEMPLATE = """
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
lease_ms = {turn_interval_ms}
evacuate_ms = 5000
[zones]
zone-a = "north"
zone-b = "south"
[platform]
address = "{platform}"
[cloud]
address = "{platform}"
"""


class Answer(NamedTuple):
    """An answer of a gateway.

    Attributes:
      status: Its status.
      headers: Its headers.
      body: Its content.
      answered_at: Monotonic time in seconds at which its head arrived.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    answered_at: float


class Machine:
    """A machine and the gateway or keeper process that runs on it.

    Attributes:
      node: Its name.
      role: The program that runs on it: `gateway` or `keeper`.
      store_proxy: What its process connects to instead of the platform; None
        if it connects directly.
      peer_proxy: What other gateways connect to instead of this one; None if
        they connect directly.
    """

    def __init__(self, node: str, role: str, directory: pathlib.Path):
        self.node = node
        self.role = role
        self.front_address = free_address()
        self.ready_address = free_address()
        self.peer_address = free_address()
        self._directory = directory
        self.store_proxy: Proxy | None = None
        self.peer_proxy: Proxy | None = None
        self.process: asyncio.subprocess.Process | None = None

    async def start(
        self, platform_address: str, waits_until_ready: bool = True
    ) -> None:
        """Starts the process.

        Args:
          platform_address: Address of the platform.
          waits_until_ready: Whether to wait until a gateway is ready.
        """
        if self.store_proxy is not None:
            platform_address = self.store_proxy.address
        listen = ""
        if self.role == "gateway":
            listen = (
                f'front = "{self.front_address}"\n'
                f'ready = "{self.ready_address}"'
            )
        path = self._directory / f"{self.node}.toml"
        path.write_text(
            BOOT_TEMPLATE.format(
                node=self.node,
                peers=self.peer_address.port,
                listen=listen,
                window=WINDOW_S,
                turn_interval_ms=int(TURN_INTERVAL_S * 1000),
                platform=platform_address,
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
        if self.role == "gateway" and waits_until_ready:
            await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    url = f"http://{self.ready_address}/shallotstand/readiness"
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    @property
    def log_path(self) -> pathlib.Path:
        """File with the standard output and standard error of the process."""
        return self._directory / f"{self.node}.log"

    @property
    def watches_for_peers(self) -> bool:
        """Whether the gateway watches the store for the others."""
        text = self.log_path.read_text("utf-8")
        return text.rfind("Watches the store for its peers") > text.rfind(
            "Leaves the watches to a peer"
        )

    async def stop(self, signal_number: signal.Signals) -> int:
        """Sends a signal and returns the exit code of the process."""
        self.process.send_signal(signal_number)
        return await self.process.wait()


class Fleet:
    """Platform, engines, gateways and keepers on the loopback interface."""

    def __init__(
        self,
        directory: pathlib.Path,
        gateways: int = 2,
        checks_fences: bool = True,
        more_engines: tuple[FleetEngine, ...] = (),
        has_proxies: bool = False,
    ):
        """Creates a deployment.

        Args:
          directory: Where settings and logs are written.
          gateways: Number of gateways.
          checks_fences: Whether the platform and the engines refuse calls with
            outdated fencing tokens.
          more_engines: Engines beside the usual ones.
          has_proxies: Whether processes connect to the platform, and gateways
            to each other, through proxies. Of two gateways, the one with the
            smaller name opens the connection.
        """
        self._has_proxies = has_proxies
        self.more_engines = more_engines
        self.platform = FleetPlatform(checks_fences)
        self.engines = [
            FleetEngine(name, checks_fences=checks_fences)
            for name in ("e1", "e2")
        ]
        self.plain_engine = FleetEngine("p1", pause_s=0.01, service="plain")
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
        self.session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        self.address = await self.platform.start()
        await self.platform.put("config", "main", configuration(1))
        for engine in self._all_engines():
            await engine.start()
            engine.on_start = functools.partial(self.register, engine)
            await self.register(engine)
        if self._has_proxies:
            await self._start_proxies()
        await asyncio.gather(
            *(
                machine.start(self.address)
                for machine in (*self.gateways, *self.keepers)
            )
        )

    async def _start_proxies(self) -> None:
        for machine in (*self.gateways, *self.keepers):
            machine.store_proxy = Proxy(self.address)
            await machine.store_proxy.start()
        for gateway in self.gateways:
            gateway.peer_proxy = Proxy(str(gateway.peer_address))
            await gateway.peer_proxy.start()
            port = int(gateway.peer_proxy.address.rpartition(":")[2])
            self.platform.peer_port_by_gateway[gateway.node] = port

    async def _stop(self) -> None:
        """Ends all processes, also those of a start that has failed."""
        await self.session.close()
        for machine in (*self.gateways, *self.keepers):
            if machine.process and machine.process.returncode is None:
                await machine.stop(signal.SIGKILL)
        for machine in (*self.gateways, *self.keepers):
            for proxy in (machine.store_proxy, machine.peer_proxy):
                if proxy is not None:
                    proxy.stop()
        for engine in self._all_engines():
            await engine.stop()
        await self.platform.stop()

    def _all_engines(self) -> tuple[FleetEngine, ...]:
        return (*self.engines, self.plain_engine, *self.more_engines)

    async def register(self, engine: FleetEngine, state: str = "ready") -> None:
        """Writes the entry of an engine to the platform's list."""
        await self.platform.put(
            "servers", engine.name, {**server_spec(engine), "state": state}
        )

    async def call(
        self,
        gateway: Machine,
        method: str,
        path: str,
        request_id: str = "r1",
        body: bytes = b"",
        key: str = "key-1",
    ) -> tuple[int, bytes]:
        """Sends a call on a new connection and returns status and body."""
        answer = await self.exchange(
            gateway, method, path, request_id, body, key
        )
        return answer.status, answer.body

    async def exchange(
        self,
        gateway: Machine,
        method: str,
        path: str,
        request_id: str = "r1",
        body: bytes = b"",
        key: str = "key-1",
    ) -> Answer:
        """Sends a call on a new connection and returns the whole answer."""
        async with self.session.request(
            method,
            f"http://{gateway.front_address}{path}",
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
            answered_at = time.monotonic()
            body = await response.read()
            return Answer(response.status, response.headers, body, answered_at)

    async def wait_for_watcher(self) -> Machine:
        """Returns the gateway that watches the store for the others."""
        await self.wait_until(
            lambda: sum(g.watches_for_peers for g in self.gateways) == 1
        )
        return next(g for g in self.gateways if g.watches_for_peers)

    async def wait_until(self, condition, timeout_s: float = 15.0) -> None:
        """Polls a condition until it holds; fails after a timeout."""
        started = time.monotonic()
        while not condition():
            assert time.monotonic() - started < timeout_s
            await asyncio.sleep(0.05)


def results_path(batch_id: str, after: int) -> str:
    """Returns the path that reads a batch's results from a position on."""
    return f"/shallotstand/lots/{batch_id}?after={after}"


def configuration(version: int, keys: tuple[str, ...] = ("key-1",)) -> dict:
    """Returns the configuration object that the operator writes."""
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
                "name": "fragile",
                "path_prefix": "/fragile/",
                "kind": "safe",
                "service": "fragile",
                "max_attempts": 2,
            },
            *(
                {
                    **common,
                    "name": f"patient-{kind}",
                    "path_prefix": f"/patient/{kind}/",
                    "kind": kind,
                    "service": "slow",
                    "timeout_ms": 12000,
                    "max_attempts": 2,
                }
                for kind in ("safe", "unsafe")
            ),
            {
                **common,
                "name": "events",
                "path_prefix": "/events/",
                "kind": "streaming",
                "resumable": True,
                "service": "writers",
                "timeout_ms": 15000,
                "max_attempts": 4,
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


def server_spec(engine: FleetEngine) -> dict:
    """Returns the object that registers an engine with the platform."""
    has_model = engine.service == "engines"
    return {
        "service": engine.service,
        "address": engine.address,
        "zone": "zone-a",
        "slots": 8,
        "state": "ready",
        "version": engine.software_version or "1.0",
        "born": engine.started_ms,
        "models": [{"name": "model", "version": 1}] if has_model else [],
        "seq": 1,
    }


def batch_submission(
    item_count: int,
    min_version: int = 1,
    id_prefix: str = "",
    max_output_tokens: int | None = None,
) -> dict:
    """Returns a batch as a trainer submits it.

    Args:
      item_count: Number of items.
      min_version: Oldest weight version that may generate them.
      id_prefix: Prefix of the identifiers of items and scorer calls.
      max_output_tokens: Limit that the items state; None if they state none.
    """
    headers = {"X-Shallotstand-Model": "model"}
    if max_output_tokens is not None:
        headers["X-Shallotstand-Token-Count"] = f"9,{max_output_tokens}"
    return {
        "step": 1,
        "model": "model",
        "min_version": min_version,
        "target_groups": 1,
        "items": [
            {
                "id": f"{id_prefix}item-{number}",
                "path": f"/rollouts/1/{number}",
                "headers": headers,
                "body": "q83v",
                "token_count": 9,
                "group": f"group-{number // 2}",
                "scorer": {
                    "id": f"{id_prefix}score-{number}",
                    "host": HOST,
                    "path": "/scores/1",
                    "body": "3q2+",
                },
            }
            for number in range(item_count)
        ],
    }

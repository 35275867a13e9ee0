"""The programs of the demo and how they are joined."""

import asyncio
import pathlib
from collections.abc import Iterable
from typing import NamedTuple

from shallotstand.settings.options import SocketAddress
from shallotstand.standins.demo_config import MODEL, SCORER
from shallotstand.standins.processes import Program, free_address

_SIDECAR_MODULE = "shallotstand.sidecar.main"
_STANDINS_MODULE = "shallotstand.standins.main"
_ENTRY_MODULE = "shallotstand.entry.main"
_CONTROLLER_MODULE = "shallotstand.controller.main"


class EndpointPlan(NamedTuple):
    """An endpoint and where it stands.

    Attributes:
      name: Name of the endpoint.
      service: Service that it serves.
      kind: `model`, `plain` or `scorer`.
      address: Where the stand-in listens.
      sidecar: Name of the sidecar beside it.
      program: Name of the program that runs it.
    """

    name: str
    service: str
    kind: str
    address: SocketAddress
    sidecar: str
    program: str = "endpoints"


class EntryPlan(NamedTuple):
    """Addresses of an entry."""

    name: str
    listen: SocketAddress
    peer_listen: SocketAddress


class ControllerPlan(NamedTuple):
    """Address of a controller."""

    name: str
    peer_address: SocketAddress


class FleetPlan(NamedTuple):
    """Who runs where.

    Attributes:
      store: Address of the platform's stand-in.
      endpoints: Engines and plain services.
      entries: Entries.
      engine_fields: Further TOML lines of every engine.
      entry_fields: Further TOML lines of every entry.
      controllers: Controllers; the demo does without.
      sidecar_fields: Further TOML lines of every sidecar.
      controller_fields: Further TOML lines of every controller.
    """

    store: SocketAddress
    endpoints: tuple[EndpointPlan, ...]
    entries: tuple[EntryPlan, ...]
    engine_fields: str = ""
    entry_fields: str = ""
    controllers: tuple[ControllerPlan, ...] = ()
    sidecar_fields: str = ""
    controller_fields: str = ""

    @classmethod
    def demo(cls) -> "FleetPlan":
        """Three engines, two plain services, two sidecars, two entries."""
        kinds = (
            ("e1", MODEL, "model", "sidecar-1"),
            ("e2", MODEL, "model", "sidecar-1"),
            ("e3", MODEL, "model", "sidecar-2"),
            ("q1", "quotes", "plain", "sidecar-2"),
            ("m1", SCORER, "scorer", "sidecar-2"),
        )
        return cls(
            free_address(),
            tuple(
                EndpointPlan(name, service, kind, free_address(), sidecar)
                for name, service, kind, sidecar in kinds
            ),
            tuple(
                EntryPlan(name, free_address(), free_address())
                for name in ("entry-1", "entry-2")
            ),
        )

    def addresses_by_service(self) -> dict[str, dict[str, str]]:
        """Returns the addresses of endpoints by name, by service."""
        return {
            service: {
                endpoint.name: str(endpoint.address)
                for endpoint in self.endpoints
                if endpoint.service == service
            }
            for service in {endpoint.service for endpoint in self.endpoints}
        }


class Fleet:
    """The running programs.

    Attributes:
      plan: Who runs where.
      programs_by_name: Programs that were started.
    """

    def __init__(self, plan: FleetPlan, directory: pathlib.Path):
        self.plan = plan
        self.programs_by_name: dict[str, Program] = {}
        self._directory = directory
        self._settings_by_name: dict[str, tuple[str, str]] = {}

    async def start(self) -> None:
        """Starts every program; the order is of no importance to them."""
        sidecars = sorted({e.sidecar for e in self.plan.endpoints})
        programs = sorted({e.program for e in self.plan.endpoints})
        starts = [
            self._start("platform", _STANDINS_MODULE, self._platform()),
            *(self.start_endpoints(program) for program in programs),
            *(
                self._start(name, _SIDECAR_MODULE, self._sidecar(name))
                for name in sidecars
            ),
            *(
                self._start(entry.name, _ENTRY_MODULE, self._entry(entry))
                for entry in self.plan.entries
            ),
            *(
                self._start(
                    held.name, _CONTROLLER_MODULE, self._controller(held)
                )
                for held in self.plan.controllers
            ),
        ]
        results = await asyncio.gather(*starts, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                await self.stop()
                raise result

    async def stop(self) -> dict[str, int]:
        """Ends every program and returns the exit statuses by name."""
        programs = self.programs_by_name.values()
        statuses = await asyncio.gather(*(p.stop() for p in programs))
        return dict(zip(self.programs_by_name, statuses, strict=True))

    async def start_endpoints(self, program: str = "endpoints") -> None:
        """Starts a program of endpoints, maybe again after its end."""
        await self._start(program, _STANDINS_MODULE, self._endpoints(program))

    async def restart(self, name: str, timeout_s: float) -> int:
        """Ends a program by SIGTERM, starts it again; returns its status."""
        status = await self.programs_by_name[name].stop(timeout_s)
        await self._start(name, *self._settings_by_name[name])
        return status

    async def _start(self, name: str, module: str, settings: str) -> None:
        self._settings_by_name[name] = module, settings
        self.programs_by_name[name] = await Program.start(
            name, module, settings, self._directory
        )

    def _platform(self) -> str:
        return f'[[platform]]\nlisten = "{self.plan.store}"\n'

    def _endpoints(self, program: str) -> str:
        return "".join(
            self._endpoint(endpoint)
            for endpoint in self.plan.endpoints
            if endpoint.program == program
        )

    def _endpoint(self, endpoint: EndpointPlan) -> str:
        lines = [f'name = "{endpoint.name}"', f'listen = "{endpoint.address}"']
        if endpoint.kind != "model":
            is_scorer = str(endpoint.kind == "scorer").lower()
            return _table("plain", [*lines, f"scorer = {is_scorer}"])
        fields = [f'model = "{MODEL}"', self.plan.engine_fields]
        return _table("engine", lines + fields)

    def _sidecar(self, name: str) -> str:
        peers = [str(entry.peer_listen) for entry in self.plan.entries]
        lines = [
            f'process_id = "{name}"',
            'zone = "peak-a"',
            f"peers = {peers}",
            self.plan.sidecar_fields,
        ]
        tables = [
            _table(
                "endpoint",
                [
                    f'name = "{endpoint.name}"',
                    f'service = "{endpoint.service}"',
                    f'kind = "{_service_kind(endpoint)}"',
                    f'url = "http://{endpoint.address}"',
                ],
            )
            for endpoint in self.plan.endpoints
            if endpoint.sidecar == name
        ]
        return "\n".join((*lines, *tables))

    def _entry(self, entry: EntryPlan) -> str:
        peers = [str(held.peer_listen) for held in self.plan.entries]
        lines = [
            f'process_id = "{entry.name}"',
            'zone = "peak-a"',
            f'listen = "{entry.listen}"',
            f'peer_listen = "{entry.peer_listen}"',
            f"entries = {peers}",
            f'store_url = "http://{self.plan.store}"',
            self.plan.entry_fields,
        ]
        return "\n".join(lines)

    def _controller(self, controller: ControllerPlan) -> str:
        peers = [str(entry.peer_listen) for entry in self.plan.entries]
        lines = [
            f'process_id = "{controller.name}"',
            'zone = "peak-a"',
            f'peer_address = "{controller.peer_address}"',
            f"peers = {peers}",
            f'store_url = "http://{self.plan.store}"',
            f'usage_url = "http://{self.plan.store}"',
            self.plan.controller_fields,
        ]
        return "\n".join(lines)


def _service_kind(endpoint: EndpointPlan) -> str:
    return "model" if endpoint.kind == "model" else "plain"


def _table(name: str, lines: Iterable[str]) -> str:
    return "\n".join((f"[[{name}]]", *lines, ""))

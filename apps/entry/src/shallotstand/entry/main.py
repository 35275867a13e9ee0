"""The entry process in front of callers and trainers."""

import asyncio
import random
import signal
import sys
from typing import Annotated, NamedTuple

import cappa
import uvloop
from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.entry.gateway import Gateway
from shallotstand.entry.http_front import make_app
from shallotstand.entry.peer_server import PeerServer
from shallotstand.entry.settings import TABLE, EntrySettings
from shallotstand.entry.sidecars import Fleet, FleetListener
from shallotstand.serving.first_come import FirstComeAdmission
from shallotstand.serving.retries import BudgetedRetries
from shallotstand.serving.routing import LeastLoadedRouter
from shallotstand.settings.loader import load_settings


@cappa.command(
    name="shallotstand-entry",
    help="Serves callers and trainers.",
)
class Arguments(NamedTuple):
    """Arguments of the command line."""

    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ]


class Entry:
    """The parts of an entry process, put together from its settings."""

    def __init__(self, settings: EntrySettings):
        clock = SystemClock()
        rng = random.Random()
        self.settings = settings
        self.incarnation = new_id()
        self.admission = FirstComeAdmission(clock)
        self.fleet = Fleet(
            FleetListener(self.admission.set_capacity, lambda _: None)
        )
        self.gateway = Gateway(
            settings.zone,
            self.fleet,
            LeastLoadedRouter(rng),
            self.admission,
            BudgetedRetries(rng),
            clock,
        )
        self.peer_server = PeerServer(
            settings, self.incarnation, self.fleet, clock
        )

    @classmethod
    def from_config(cls, settings: EntrySettings) -> "Entry":
        """Makes an entry from checked settings."""
        return cls(settings)

    async def run(self) -> None:
        """Serves until SIGTERM, then until the answers have ended."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        app = make_app(self.settings, self.gateway)
        peer_listener = await self.peer_server.start()
        http_server = await app.create_server(
            host=self.settings.listen.host,
            port=self.settings.listen.port,
            return_asyncio_server=True,
            access_log=False,
        )
        await http_server.startup()
        logs.event(logging.INFO, "Started", listen=str(self.settings.listen))
        await stopping.wait()
        await self._drain()
        await http_server.close()
        peer_listener.close()
        logs.event(logging.INFO, "Stopped")

    async def _drain(self) -> None:
        self.gateway.refusal = Failure(
            ResultCode.SHUTTING_DOWN, "This entry is shutting down."
        )
        await self.gateway.activity.wait_idle(self.settings.shutdown_deadline_s)


def main() -> None:
    """Reads the settings and runs the program."""
    arguments = cappa.parse(Arguments)
    config = load_settings(arguments.settings, TABLE)
    if isinstance(config, Failure):
        for detail in config.details:
            print(
                f"error {detail.code}: {detail.path} {detail.reason}",
                file=sys.stderr,
            )
        sys.exit(2)
    settings = EntrySettings.from_config(config)
    logs.configure(
        "shallotstand-entry", settings.process_id, settings.log_level
    )
    uvloop.install()
    asyncio.run(Entry.from_config(settings).run())


if __name__ == "__main__":
    main()

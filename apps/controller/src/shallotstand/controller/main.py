"""The controller: leases, orders and usage reports."""

import asyncio
import signal
from typing import Annotated

import cappa
import uvloop
from absl import logging
from shallotstand.control.watchdog import AlarmWatchdog
from shallotstand.controller.controller import Controller
from shallotstand.controller.settings import TABLE, ControllerSettings
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.ids import new_id
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.platform.http_usage import HttpUsageSink
from shallotstand.settings.loader import load_or_exit


async def run(settings: ControllerSettings) -> None:
    """Works until SIGTERM, then gives up its scopes and its session."""
    store = HttpObjectStore(settings.store_url)
    sink = HttpUsageSink(settings.usage_url)
    controller = Controller(
        settings, new_id(), store, sink, AlarmWatchdog(), SystemClock()
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    logs.event(logging.INFO, "Started", zones=list(settings.zones))
    await controller.run(stopping)
    await store.close()
    await sink.close()
    logs.event(logging.INFO, "Stopped")


@cappa.command(name="shallotstand-controller")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Holds scopes, collects usage and sends usage reports."""
    checked = ControllerSettings.from_config(load_or_exit(settings, TABLE))
    logs.configure(
        "shallotstand-controller", checked.process_id, checked.log_level
    )
    uvloop.install()
    asyncio.run(run(checked))


def main() -> None:
    """Parses the command line and runs the program."""
    cappa.invoke(start)


if __name__ == "__main__":
    main()

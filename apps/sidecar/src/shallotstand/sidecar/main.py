"""The sidecar beside an endpoint instance."""

import asyncio
import signal
import sys
from typing import Annotated, NamedTuple

import cappa
import uvloop
from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.engine.http import HttpEngine
from shallotstand.settings.loader import load_settings
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.peers import Peers
from shallotstand.sidecar.runner import Runner
from shallotstand.sidecar.settings import TABLE, SidecarSettings
from shallotstand.sidecar.usage_log import UsageLog


@cappa.command(
    name="shallotstand-sidecar",
    help="Runs beside an endpoint instance and passes requests to it.",
)
class Arguments(NamedTuple):
    """Arguments of the command line."""

    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ]


async def run(settings: SidecarSettings) -> None:
    """Serves until SIGTERM, then until the answers in progress have ended."""
    clock = SystemClock()
    incarnation = new_id()
    endpoints_by_name = {
        endpoint.name: LocalEndpoint(endpoint, HttpEngine(endpoint.url))
        for endpoint in settings.endpoints
    }
    usage_log = UsageLog(incarnation, settings.window_s)
    runner = Runner(endpoints_by_name, usage_log, clock)
    peers = Peers(
        settings, incarnation, endpoints_by_name, runner, usage_log, clock
    )
    watchers = [
        asyncio.create_task(endpoint.watch(peers.on_report))
        for endpoint in endpoints_by_name.values()
    ]
    for address in settings.peers:
        peers.dial(address)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    logs.event(logging.INFO, "Started", endpoints=list(endpoints_by_name))
    await stopping.wait()
    runner.accepting = False
    await peers.activity.wait_idle(settings.shutdown_deadline_s)
    for watcher in watchers:
        watcher.cancel()
    await peers.close()
    for endpoint in endpoints_by_name.values():
        await endpoint.engine.close()
    logs.event(logging.INFO, "Stopped")


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
    settings = SidecarSettings.from_config(config)
    logs.configure(
        "shallotstand-sidecar", settings.process_id, settings.log_level
    )
    uvloop.install()
    asyncio.run(run(settings))


if __name__ == "__main__":
    main()

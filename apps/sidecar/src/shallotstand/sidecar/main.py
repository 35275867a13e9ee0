"""Command line program of the sidecar, which runs on an endpoint's instance."""

import asyncio
import signal
from typing import Annotated

import cappa
import uvloop
from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.ids import new_id
from shallotstand.engine.http import HttpEngine
from shallotstand.link.peer_connections import (
    PeerConnectionManager,
    ProcessIdentity,
)
from shallotstand.observe.exposition import serve_metrics_if_configured
from shallotstand.settings.loader import load_settings_or_exit
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.gauges import make_metrics
from shallotstand.sidecar.order_gate import OrderGate
from shallotstand.sidecar.peers import PeerHandler
from shallotstand.sidecar.runner import Runner
from shallotstand.sidecar.settings import TABLE, SidecarSettings
from shallotstand.sidecar.usage_log import UsageLog

# Longest wait at shutdown for a controller to store the usage records: time for
# three checkpoints. Records that are not stored by then are not lost, since the
# entries have copies.
USAGE_FLUSH_TIMEOUT_S = 15.0
LOOPBACK = "127.0.0.1"


async def run(settings: SidecarSettings) -> None:
    """Serves until SIGTERM, then finishes the answers in progress and stops."""
    clock = SystemClock()
    incarnation = new_id()
    endpoints_by_name = {
        endpoint.name: LocalEndpoint(endpoint, HttpEngine(endpoint.url))
        for endpoint in settings.endpoints
    }
    usage_log = UsageLog(incarnation, settings.window_s, settings.usage_shards)
    runner = Runner(endpoints_by_name, usage_log, clock)
    service = PeerHandler(
        settings.zone,
        endpoints_by_name,
        runner,
        usage_log,
        OrderGate(endpoints_by_name, clock),
    )
    identity = ProcessIdentity(
        settings.process_id, "sidecar", settings.zone, incarnation
    )
    peer_connections = PeerConnectionManager(
        identity, service.serve, clock, service.describe
    )
    service.peer_connections = peer_connections
    tasks = [
        asyncio.create_task(endpoint.watch(service.load_reporter.on_report))
        for endpoint in endpoints_by_name.values()
    ]
    tasks.append(asyncio.create_task(service.load_reporter.run()))
    tasks.append(asyncio.create_task(service.send_usage_periodically()))
    for address in settings.peers:
        peer_connections.maintain_connection(address.host, address.port)
    metrics = make_metrics(endpoints_by_name, usage_log, peer_connections)
    listen = (LOOPBACK, settings.metrics_port)
    metrics_server = await serve_metrics_if_configured(
        metrics, listen if settings.metrics_port else None
    )
    stopping, stopping_now = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        """Starts the shutdown at the first signal and ends it at the second."""
        (stopping_now if stopping.is_set() else stopping).set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    logs.event(logging.INFO, "Started", endpoints=list(endpoints_by_name))
    await stopping.wait()
    service.begin_shutdown()
    finishing = asyncio.create_task(_finish(service, settings))
    tasks.extend((finishing, asyncio.create_task(stopping_now.wait())))
    await asyncio.wait(tasks[-2:], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await peer_connections.close()
    if metrics_server is not None:
        await metrics_server.cleanup()
    for endpoint in endpoints_by_name.values():
        await endpoint.engine.close()
    logs.event(logging.INFO, "Stopped")


async def _finish(service: PeerHandler, settings: SidecarSettings) -> None:
    """Waits for the answers in progress, then until the usage is stored."""
    await service.in_progress.wait_idle(settings.shutdown_deadline_s)
    if not await service.flush_usage(USAGE_FLUSH_TIMEOUT_S):
        logs.event(logging.WARNING, "Usage not stored before shutdown")


@cappa.command(name="shallotstand-sidecar")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Runs beside an endpoint instance and passes requests to it."""
    checked = SidecarSettings.from_config(
        load_settings_or_exit(settings, TABLE)
    )
    logs.configure(
        "shallotstand-sidecar", checked.process_id, checked.log_level
    )
    uvloop.install()
    asyncio.run(run(checked))


def main() -> None:
    """Parses the command line and runs the program."""
    cappa.invoke(start)


if __name__ == "__main__":
    main()

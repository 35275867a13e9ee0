"""Command line program of the controller."""

import asyncio
import collections
import contextlib
import signal
from collections.abc import AsyncIterator
from typing import Annotated

import cappa
import uvloop
from absl import logging
from sanic import Sanic
from shallotstand.configsync.gauges import ConfigGauges, register_peer_gauge
from shallotstand.control.watchdog import AlarmWatchdog
from shallotstand.controller.admin_http import make_admin_app
from shallotstand.controller.controller import Controller
from shallotstand.controller.settings import TABLE, ControllerSettings
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.ids import new_id
from shallotstand.observe.exposition import serve_metrics
from shallotstand.observe.metrics import Metrics
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.platform.http_usage import HttpUsageSink
from shallotstand.settings.loader import load_settings_or_exit
from shallotstand.settings.options import SocketAddress


async def run(settings: ControllerSettings) -> None:
    """Runs a controller until SIGTERM, then releases its scopes and session."""
    store = HttpObjectStore(settings.store_url)
    sink = HttpUsageSink(settings.usage_url)
    controller = Controller(
        settings, new_id(), store, sink, AlarmWatchdog(), SystemClock()
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with contextlib.AsyncExitStack() as stack:
        if settings.admin_listen is not None:
            app = make_admin_app(controller, store, settings.admin_key_hashes)
            await stack.enter_async_context(
                serve_app(app, settings.admin_listen)
            )
        if settings.metrics_listen is not None:
            metrics_server = await serve_metrics(
                make_metrics(controller), *settings.metrics_listen
            )
            stack.push_async_callback(metrics_server.cleanup)
        logs.event(logging.INFO, "Started", zones=list(settings.zones))
        await controller.run(stopping)
    await store.close()
    await sink.close()
    logs.event(logging.INFO, "Stopped")


def make_metrics(controller: Controller) -> Metrics:
    """Returns the metrics of a controller."""
    metrics = Metrics()
    ConfigGauges(controller.config_keeper, SystemClock()).register_metrics(
        metrics
    )
    register_peer_gauge(metrics, controller.peer_connections)
    metrics.gauge(
        "scopes_held",
        "Scopes that this controller holds.",
        "kind",
        lambda: collections.Counter(
            name.partition("/")[0]
            for name in controller.scope_keeper.held_by_name
        ).items(),
    )
    return metrics


@contextlib.asynccontextmanager
async def serve_app(app: Sanic, listen: SocketAddress) -> AsyncIterator[None]:
    """Serves a Sanic application until the context ends."""
    server = await app.create_server(
        listen.host,
        listen.port,
        return_asyncio_server=True,
        access_log=False,
    )
    await server.startup()
    try:
        yield
    finally:
        await server.close()


@cappa.command(name="shallotstand-controller")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Holds scopes, collects usage and sends usage reports."""
    checked = ControllerSettings.from_config(
        load_settings_or_exit(settings, TABLE)
    )
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

"""Runs any set of stand-ins in one process."""

import asyncio
import signal
from collections.abc import Mapping
from typing import Annotated, Any

import cappa
import uvloop
from absl import logging
from sanic import Sanic
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.platform.protocols import Instance
from shallotstand.settings.loader import load_settings_or_exit
from shallotstand.settings.options import SocketAddress
from shallotstand.standins.engine import EngineProfile, StandinEngine
from shallotstand.standins.engine_http import make_engine_app
from shallotstand.standins.instance_list import StandinInstanceList
from shallotstand.standins.object_store import StandinObjectStore
from shallotstand.standins.plain import StandinPlainService, make_plain_app
from shallotstand.standins.platform_http import Platform, make_platform_app
from shallotstand.standins.scorer import make_scorer_app
from shallotstand.standins.settings import TABLE
from shallotstand.standins.usage_sink import StandinUsageSink
from shallotstand.standins.weight_store import StandinWeightStore
from shallotstand.standins.zone_orders import StandinZoneOrders


def platform_from_config(config: Mapping[str, Any]) -> Platform:
    """Makes the stand-ins of one platform from its checked table."""
    clock = SystemClock()
    weights = {held["key"]: bytes(held["bytes"]) for held in config["weights"]}
    instances = [Instance(**fields) for fields in config["instance"]]
    return Platform(
        store=StandinObjectStore(),
        zone_orders=StandinZoneOrders(config["zone_order_checks"], clock),
        usage_sink=StandinUsageSink(),
        instance_list=StandinInstanceList(
            instances, config["instance_lag_s"], clock
        ),
        weight_store=StandinWeightStore(
            weights, config["weight_fetches_per_s"], clock
        ),
    )


def engine_from_config(config: Mapping[str, Any]) -> StandinEngine:
    """Makes an engine from its checked table."""
    profile = {name: config[name] for name in EngineProfile._fields}
    return StandinEngine(EngineProfile(**profile), config["version"])


def apps_by_address(config: Mapping[str, Any]) -> dict[SocketAddress, Sanic]:
    """Makes the application of every stand-in.

    Args:
      config: Settings that passed the check of TABLE.
    """
    platforms = {
        item["listen"]: make_platform_app(
            f"platform-{item['listen'].port}", platform_from_config(item)
        )
        for item in config["platform"]
    }
    engines = {
        item["listen"]: make_engine_app(
            f"engine-{item['listen'].port}",
            item["model"],
            engine_from_config(item),
        )
        for item in config["engine"]
    }
    plain = {item["listen"]: _plain_app(item) for item in config["plain"]}
    return platforms | engines | plain


def _plain_app(config: Mapping[str, Any]) -> Sanic:
    make_app = make_scorer_app if config["scorer"] else make_plain_app
    return make_app(
        f"plain-{config['listen'].port}", StandinPlainService(config["slots"])
    )


async def run(config: Mapping[str, Any]) -> None:
    """Serves every stand-in until SIGTERM."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    servers = [
        await serve_app(app, address)
        for address, app in apps_by_address(config).items()
    ]
    logs.event(logging.INFO, "Started", standins=len(servers))
    await stopping.wait()
    for server in servers:
        await server.close()


async def serve_app(app: Sanic, address: SocketAddress) -> Any:
    """Starts an application and returns its server."""
    server = await app.create_server(
        address.host,
        address.port,
        return_asyncio_server=True,
        access_log=False,
    )
    await server.startup()
    return server


@cappa.command(name="shallotstand-standins")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Serves stand-ins for the platform, engines and plain services."""
    config = load_settings_or_exit(settings, TABLE)
    logs.configure("shallotstand-standins", "standins", config["log_level"])
    uvloop.install()
    asyncio.run(run(config))


def main() -> None:
    """Parses the command line and runs the program."""
    cappa.invoke(start)


if __name__ == "__main__":
    main()

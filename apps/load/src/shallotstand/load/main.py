"""Sends a bounded load to entries on this machine."""

import asyncio
from typing import Annotated

import cappa
import orjson
import uvloop
from shallotstand.core.clock import SystemClock
from shallotstand.load.plan import plan_requests
from shallotstand.load.runner import LoadRun
from shallotstand.load.settings import TABLE, LoadSettings
from shallotstand.settings.loader import load_settings_or_exit


@cappa.command(name="shallotstand-load")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Sends a seeded load and prints one JSON line for each figure."""
    checked = LoadSettings.from_config(load_settings_or_exit(settings, TABLE))
    uvloop.install()
    load_run = LoadRun(checked, SystemClock())
    asyncio.run(load_run.run(plan_requests(checked)))
    for figure in load_run.figures.lines():
        print(orjson.dumps(figure._asdict()).decode())


def main() -> None:
    """Parses the command line and runs the program."""
    cappa.invoke(start)


if __name__ == "__main__":
    main()

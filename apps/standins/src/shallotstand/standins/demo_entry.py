"""An entry that serves by the demo's configuration in the store.

It stands in for adoption, and goes when the entry adopts by itself.
"""

import asyncio
import contextlib
from typing import Annotated

import cappa
import uvloop
from shallotstand.core import logs
from shallotstand.core.failure import Failure
from shallotstand.entry.main import Entry
from shallotstand.entry.settings import TABLE, EntrySettings
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.settings.loader import load_or_exit
from shallotstand.standins.demo_config import CATALOG_KEY, decode_catalog


async def run(settings: EntrySettings) -> None:
    """Serves until SIGTERM and takes each configuration of the store."""
    entry = Entry.from_config(settings)
    store = HttpObjectStore(settings.store_url)
    adoption = asyncio.create_task(_adopt(store, entry))
    await entry.run()
    adoption.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await adoption
    await store.close()


async def _adopt(store: HttpObjectStore, entry: Entry) -> None:
    async for change in store.watch(CATALOG_KEY):
        if not isinstance(change, Failure) and change.version:
            entry.gateway.adopt(decode_catalog(change.value))


@cappa.command(name="demo-entry")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ],
) -> None:
    """Serves callers by the demo's configuration."""
    checked = EntrySettings.from_config(load_or_exit(settings, TABLE))
    logs.configure("shallotstand-entry", checked.process_id, checked.log_level)
    uvloop.install()
    asyncio.run(run(checked))


if __name__ == "__main__":
    cappa.invoke(start)

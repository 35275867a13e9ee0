"""Runs every program on this machine and checks what they serve."""

import asyncio
import pathlib
import sys
import tempfile

import aiohttp
import orjson
from shallotstand.core.failure import Failure
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.standins.demo_checks import CHECKS, Demo, Tally, wait_ready
from shallotstand.standins.demo_config import demo_catalog, write_catalog
from shallotstand.standins.demo_fleet import Fleet, FleetPlan

_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 15.0


async def run_checks(plan: FleetPlan) -> Tally:
    """Runs every check in turn against running programs."""
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        demo = Demo(plan, session)
        tally = await wait_ready(demo)
        for check in CHECKS:
            try:
                tally = tally.plus(await check(demo))
            except (aiohttp.ClientError, TimeoutError) as error:
                fault = f"{check.__name__}: {error!r}"
                tally = tally.plus(Tally(lost=1, faults=(fault,)))
            print(f"{check.__name__} done", file=sys.stderr)
    return tally


async def publish(plan: FleetPlan) -> Tally:
    """Writes the configuration into the store."""
    store = HttpObjectStore(f"http://{plan.store}")
    catalog = demo_catalog(plan.addresses_by_service())
    failure = await write_catalog(store, catalog)
    await store.close()
    if isinstance(failure, Failure):
        return Tally(faults=(f"Not published: {failure.reason}",))
    return Tally()


async def run_demo(directory: pathlib.Path) -> Tally:
    """Starts the programs, runs the checks and ends the programs."""
    fleet = Fleet(FleetPlan.demo(), directory)
    await fleet.start()
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            tally = (await publish(fleet.plan)).plus(
                await run_checks(fleet.plan)
            )
    except TimeoutError:
        tally = Tally(faults=("The checks took too long.",))
    finally:
        statuses = await fleet.stop()
    faults = tuple(
        f"{name} ended with {status}"
        for name, status in statuses.items()
        if status != 0
    )
    return tally.plus(Tally(faults=faults))


def main() -> None:
    """Runs the demo; the last line is what was served, as JSON."""
    with tempfile.TemporaryDirectory(prefix="shallotstand-") as directory:
        tally = asyncio.run(run_demo(pathlib.Path(directory)))
    print(orjson.dumps(tally._asdict()).decode())
    sys.exit(1 if tally.faults or tally.duplicated or tally.lost else 0)


if __name__ == "__main__":
    main()

"""Cost of the data path: processor time and latency, beside direct calls.

One entry, one sidecar and stand-in engines run as processes on loopback; this
process is the caller. The same load goes to an engine directly and through
the product, with three flush intervals and as whole answers. One JSON line is
written for each figure. Processor times are of the entry and the sidecar.
"""

import asyncio
import json
import pathlib
import tempfile
import time
from typing import NamedTuple

import aiohttp
import psutil
import uvloop
from shallotstand.control.publication import publish
from shallotstand.objects.types import Catalog
from shallotstand.observe.metrics import LatencyHistogram
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.standins.demo_config import GUEST_KEY, demo_catalog
from shallotstand.standins.demo_fleet import (
    EndpointPlan,
    EntryPlan,
    Fleet,
    FleetPlan,
)
from shallotstand.standins.processes import free_address

STREAMS = 100
TOKENS = 100
SHORT_REQUESTS = 1000
SHORT_CONCURRENCY = 8
FLUSHES_MS = (20, 100, 250)
TWO_YEAR_REQUESTS = 2300
TWO_YEAR_TOKENS = 700_000
_ENGINE_FIELDS = "slots = 256\ntoken_s = 0.04\nprefill_s = 0.0\n"
_US_PER_S = 1e6


class Load(NamedTuple):
    """One kind of load.

    Attributes:
      requests: Number of requests.
      concurrency: Requests in progress at once.
      tokens: Tokens of each answer.
      stream: Whether the caller wants a stream.
    """

    requests: int
    concurrency: int
    tokens: int
    stream: bool


class Outcome(NamedTuple):
    """What one run of a load took.

    Attributes:
      first_byte: Time to the first byte.
      whole: Time to the end of the answer.
      entry_s: Processor seconds of the entry.
      sidecar_s: Processor seconds of the sidecar.
      failed: Answers that were not whole.
    """

    first_byte: LatencyHistogram
    whole: LatencyHistogram
    entry_s: float
    sidecar_s: float
    failed: int


def make_plan() -> FleetPlan:
    """Returns one entry and one sidecar with an engine for each interval."""
    endpoints = tuple(
        EndpointPlan(
            f"e{flush}", f"m{flush}", "model", free_address(), "sidecar-1"
        )
        for flush in FLUSHES_MS
    )
    entry = EntryPlan("entry-1", free_address(), free_address())
    return FleetPlan(free_address(), endpoints, (entry,), _ENGINE_FIELDS)


def make_catalog() -> Catalog:
    """Returns a catalog with one service for each flush interval."""
    catalog = demo_catalog({})
    template = catalog.services_by_name["drafts"]
    services = {
        f"m{flush}": template._replace(
            name=f"m{flush}",
            model=f"m{flush}",
            flush_ms=flush,
            max_queue=1000,
            deadline_s=60.0,
        )
        for flush in FLUSHES_MS
    }
    return catalog._replace(services_by_name=services)


async def call(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    load: Load,
    number: int,
) -> tuple[float, float, bool]:
    """Sends one request; returns times to first and last byte and success."""
    body = {
        "model": model,
        "prompt": f"request {number}",
        "max_tokens": load.tokens,
        "stream": load.stream,
    }
    started = time.perf_counter()
    first = 0.0
    content = bytearray()
    async with session.post(
        url + "/v1/completions",
        json=body,
        headers={"Authorization": f"Bearer {GUEST_KEY}"},
    ) as response:
        async for chunk in response.content.iter_any():
            first = first or time.perf_counter()
            content += chunk
    ended = time.perf_counter()
    last = b"[DONE]" if b"data: " in content else b'"weight_spans"'
    good = response.status == 200 and last in content
    return first - started, ended - started, good


async def run_load(
    url: str, model: str, load: Load, processes: list[psutil.Process]
) -> Outcome:
    """Runs a load and measures the processes meanwhile."""
    first_byte, whole = LatencyHistogram(), LatencyHistogram()
    gate = asyncio.Semaphore(load.concurrency)
    failed = 0
    before = [_cpu_s(process) for process in processes]
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:

        async def one(number: int) -> None:
            nonlocal failed
            async with gate:
                first, end, good = await call(session, url, model, load, number)
            first_byte.record(first)
            whole.record(end)
            failed += not good

        await asyncio.gather(*(one(n) for n in range(load.requests)))
    entry_s, sidecar_s = (
        _cpu_s(process) - spent
        for process, spent in zip(processes, before, strict=True)
    )
    return Outcome(first_byte, whole, entry_s, sidecar_s, failed)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _figure(name: str, unit: str, value: float) -> None:
    print(
        json.dumps({"name": name, "unit": unit, "value": round(value, 4)}),
        flush=True,
    )


async def measure(plan: FleetPlan, fleet: Fleet) -> None:
    """Runs every load and prints the figures."""
    entry_url = f"http://{plan.entries[0].listen}"
    processes = [
        psutil.Process(fleet.programs_by_name[name].process.pid)
        for name in ("entry-1", "sidecar-1")
    ]
    short = Load(SHORT_REQUESTS, SHORT_CONCURRENCY, 1, True)
    direct_url = f"http://{plan.endpoints[0].address}"
    direct = await run_load(direct_url, "m20", short, processes)
    through = await run_load(entry_url, "m20", short, processes)
    for name, outcome in (("direct", direct), ("through", through)):
        for share in (0.5, 0.99):
            latency = outcome.whole.quantile(share) * 1000
            _figure(f"short.{name}.p{share * 100:g}", "ms", latency)
    for role, spent in (
        ("entry", through.entry_s),
        ("sidecar", through.sidecar_s),
    ):
        per_request = spent / SHORT_REQUESTS * _US_PER_S
        _figure(f"{role}.per_request", "us", per_request)
    _figure("short.failed", "requests", direct.failed + through.failed)
    long = Load(STREAMS, STREAMS, TOKENS, True)
    for flush in FLUSHES_MS:
        await _measure_tokens(
            f"flush_{flush}ms", entry_url, f"m{flush}", long, processes
        )
    whole = long._replace(stream=False)
    await _measure_tokens("whole_answer", entry_url, "m20", whole, processes)


async def _measure_tokens(
    name: str, url: str, model: str, load: Load, processes: list[psutil.Process]
) -> None:
    outcome = await run_load(url, model, load, processes)
    tokens = load.requests * load.tokens
    for role, spent in (
        ("entry", outcome.entry_s),
        ("sidecar", outcome.sidecar_s),
    ):
        per_token = spent / tokens * _US_PER_S
        _figure(f"{role}.per_token.{name}", "us", per_token)
        cores = per_token * TWO_YEAR_TOKENS / _US_PER_S
        _figure(f"{role}.cores_at_700000_tokens.{name}", "cores", cores)
    _figure(f"failed.{name}", "requests", outcome.failed)


async def run() -> None:
    """Starts the programs, measures and ends them."""
    plan = make_plan()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(plan, pathlib.Path(folder))
        await fleet.start()
        store = HttpObjectStore(f"http://{plan.store}")
        try:
            await publish(store, Catalog.empty(), make_catalog())
            await asyncio.sleep(3.0)
            await measure(plan, fleet)
        finally:
            await store.close()
            await fleet.stop()


if __name__ == "__main__":
    uvloop.install()
    asyncio.run(run())

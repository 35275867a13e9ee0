"""Odd entries that another program left in the store harm no process.

Each test runs real gateways and keepers.
"""

import asyncio
import contextlib
import itertools
import signal

import aiohttp
import orjson
import pytest
from shallotstand.core.failure import Failure
from shallotstand.standins.fleet import (
    Fleet,
    batch_submission,
    configuration,
    results_path,
    server_spec,
)
from shallotstand.standins.fleet_engine import FleetEngine

# Longest time until all processes follow a change.
FOLLOWED_WITHIN_S = 5.0


def nested(depth):
    return b"[" * depth + b"]" * depth


# Values of an unknown type or out of range, as raw JSON or what is none.
ODD_VALUES = {
    "nested 300": nested(300),
    "nested 5000": nested(5000),
    "nested 400000": nested(400_000),
    "nested objects": b'{"a":' * 5000 + b"1" + b"}" * 5000,
    "infinite": b"1e999",
    "negative infinite": b"-1e999",
    "many digits": b"9" * 400,
    "more digits": b"9" * 5000,
    "large": b"1e300",
    "fraction": b"1.5",
    "negative": b"-1",
    "not a number": b"NaN",
    "true": b"true",
    "null": b"null",
    "text": b'"many"',
    "lone surrogate": rb'"\ud800"',
    "no UTF-8": b'"\xff\xfe"',
    "object": b'{"x":1}',
    "list": b"[1]",
}
FIELDS = ("service", "address", "slots", "state", "version", "born", "models")
ODD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1:1e3",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:\uff18\uff10",
    "127.0.0.1:80/x",
    "user@127.0.0.1:80",
    "127.0.0.1\r\nX: y:80",
    "[::1]:80",
    ":80",
    "127.0.0.1",
)


def odd_specs(base):
    """Yields names and raw contents of odd entries."""
    for name, value in ODD_VALUES.items():
        yield f"whole: {name}", value
        for field in (*FIELDS, *(("unknown",) if "nested" in name else ())):
            # Any text is a version.
            if (field, name) != ("version", "text"):
                fields = {**base, field: orjson.Fragment(value)}
                yield f"{field}: {name}", orjson.dumps(fields)
        models = orjson.Fragment(b'[{"name":"m","version":%b}]' % value)
        yield f"model: {name}", orjson.dumps({**base, "models": models})
    for address in ODD_ADDRESSES:
        yield f"address {address}", orjson.dumps({**base, "address": address})


def run_scenario(directory, scenario, engines=()):
    async def run_with_fleet():
        async with Fleet(directory, 2, more_engines=engines) as fleet:
            await asyncio.wait_for(scenario(fleet), 50)

    asyncio.run(run_with_fleet())


@pytest.fixture
def directory(tmp_path):
    return tmp_path


async def call_plain(fleet, gateway, numbers=itertools.count()):  # noqa: B008
    with contextlib.suppress(aiohttp.ClientError, OSError):
        status, _ = await fleet.call(
            gateway, "POST", "/plain/a", f"plain-{next(numbers)}"
        )
        return status
    return 0


async def put_raw(fleet, kind, name, content):
    await fleet.platform.put(kind, name, orjson.Fragment(content))


async def check_list_is_followed(fleet, engines):
    """Replaces the plain engine by another, and back."""
    documents = fleet.platform.documents
    for old, new in itertools.pairwise(engines):
        await fleet.register(new)
        await documents.delete("servers", old.name)
        await asyncio.sleep(FOLLOWED_WITHIN_S / 2)
        old.started_requests.clear()
        for gateway in fleet.gateways:
            assert await call_plain(fleet, gateway) == 200
        assert old.started_requests == []


def check_all_live(fleet, processes):
    for machine in (*fleet.gateways, *fleet.keepers):
        assert machine.process.returncode is None
        assert machine.process.pid == processes[machine.node]


def process_ids(fleet):
    return {
        machine.node: machine.process.pid
        for machine in (*fleet.gateways, *fleet.keepers)
    }


def test_odd_entries_of_engines_are_passed_over(directory):
    # Guards against an odd entry that ends processes, that stops them from
    # following the list, or that requests are sent to.
    other = FleetEngine("p2", pause_s=0.01, service="plain")

    async def scenario(fleet):
        await fleet.platform.documents.delete("servers", other.name)
        processes = process_ids(fleet)
        base = server_spec(fleet.plain_engine)
        trap = FleetEngine("trap", service="plain")
        base["address"] = await trap.start()
        for number, (_, content) in enumerate(odd_specs(base)):
            await put_raw(fleet, "servers", f"odd-{number}", content)
        await check_list_is_followed(
            fleet, (fleet.plain_engine, other, fleet.plain_engine)
        )
        check_all_live(fleet, processes)
        # Processes that start read the whole list.
        for machine in (*fleet.gateways, *fleet.keepers):
            await machine.stop(signal.SIGKILL)
        await asyncio.gather(
            *(
                machine.start(fleet.address)
                for machine in (*fleet.gateways, *fleet.keepers)
            )
        )
        processes = process_ids(fleet)
        await check_list_is_followed(fleet, (fleet.plain_engine, other))
        check_all_live(fleet, processes)
        assert trap.started_requests == []
        await trap.stop()

    run_scenario(directory, scenario, (other,))


@pytest.mark.parametrize(
    "name", ["nested 5000", "infinite", "lone surrogate", "no UTF-8"]
)
def test_entry_that_turns_odd_is_not_used_any_more(directory, name):
    # Guards against an engine that stays in use although its entry has been
    # overwritten by another program.
    other = FleetEngine("p2", pause_s=0.01, service="plain")

    async def scenario(fleet):
        spec = server_spec(fleet.plain_engine)
        spec["slots"] = orjson.Fragment(ODD_VALUES[name])
        await put_raw(
            fleet, "servers", fleet.plain_engine.name, orjson.dumps(spec)
        )
        await asyncio.sleep(FOLLOWED_WITHIN_S / 2)
        fleet.plain_engine.started_requests.clear()
        for gateway in fleet.gateways * 4:
            assert await call_plain(fleet, gateway) == 200
        assert fleet.plain_engine.started_requests == []

    run_scenario(directory, scenario, (other,))


def test_odd_entries_of_every_kind_are_passed_over(directory):
    # Guards against an odd entry in another list that a process reads.
    async def scenario(fleet):
        kinds = {kind for _, kind in fleet.platform.documents.call_counts} | {
            "config",
            "servers",
            "versions",
            "retirements",
            "gateways",
            "batch-log",
            "batch-results",
            "batch-progress",
            "usage-counts",
            "request-crashes",
            "stream-plans",
            "stream-origins",
        }
        processes = process_ids(fleet)
        for kind in kinds:
            for number, content in enumerate(ODD_VALUES.values()):
                for suffix in ("", ".0", ".1", ".end"):
                    await put_raw(fleet, kind, f"odd-{number}{suffix}", content)
        await fleet.platform.put(
            "config", "main", configuration(9, ("key-1", "key-9"))
        )
        await fleet.platform.put(
            "versions", "model", {"model": "model", "version": 2}
        )
        await fleet.platform.put("retirements", "keeper-0", {"duration_s": 1.0})
        await asyncio.sleep(FOLLOWED_WITHIN_S)
        for gateway in fleet.gateways:
            status, _ = await fleet.call(
                gateway, "POST", "/plain/a", f"k-{gateway.node}", key="key-9"
            )
            assert status == 200
        await fleet.wait_until(
            lambda: all(e.version == 2 for e in fleet.engines)
        )
        document = await fleet.platform.documents.get("retirements", "keeper-0")
        assert not isinstance(document, Failure)
        assert document.status["state"] == "completed"
        await check_batch(fleet, "b1")
        check_all_live(fleet, processes)
        for gateway in fleet.gateways:
            await gateway.stop(signal.SIGKILL)
        await asyncio.gather(
            *(gateway.start(fleet.address) for gateway in fleet.gateways)
        )
        processes = process_ids(fleet)
        await check_batch(fleet, "b2")
        check_all_live(fleet, processes)

    run_scenario(directory, scenario)


async def check_batch(fleet, batch_id):
    """Runs a batch to its end."""
    body = orjson.dumps(batch_submission(4, id_prefix=batch_id))
    status, _ = await fleet.call(
        fleet.gateways[0], "POST", "/rollouts/1", batch_id, body
    )
    assert status == 202
    results = []
    while len(results) < 4:
        status, page = await fleet.call(
            fleet.gateways[1], "GET", results_path(batch_id, 0)
        )
        results = orjson.loads(page)["results"] if status == 200 else []
        await asyncio.sleep(0.1)
    assert {result["state"] for result in results} == {"completed"}

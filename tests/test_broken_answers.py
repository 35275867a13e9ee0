"""Real gateways beside an engine whose answers are broken."""

import asyncio
import re

import aiohttp
import orjson
import pytest
from shallotstand.standins.early_http import REQUEST_ID, EarlyServer, Ending
from shallotstand.standins.fleet import (
    Fleet,
    batch_submission,
    results_path,
)
from shallotstand.standins.fleet_engine import FleetEngine

UPLOAD = b"x" * 6_000_000
CALLS = 8
BROKEN_ENGINE = "odd"
ITEMS = 8
EVENTS = b"".join(b"id: %d\ndata: part\n\n" % number for number in (1, 2, 3))


def answer_head(status=b"200 OK", *lines):
    return b"\r\n".join(
        (
            b"HTTP/1.1 " + status,
            b"X-Shallotstand-Attempt-Id: " + REQUEST_ID,
            b"X-Shallotstand-Server-Seal: seal",
            b"X-Shallotstand-Weight-Versions: 1",
            *lines,
            b"",
            b"",
        )
    )


def whole_answer(body, status=b"200 OK", *lines):
    return answer_head(status, b"Content-Length: %d" % len(body), *lines) + body


# What an engine sends as its answer with a body, and how it goes on.
BROKEN = {
    "reset": (lambda body: answer_head() + body, Ending.RESET),
    "continued line": (
        lambda body: whole_answer(body, b"200 OK", b"X-Own: 1", b" more"),
        Ending.KEEP,
    ),
    "status 000": (lambda body: whole_answer(body, b"000 Odd"), Ending.KEEP),
}


async def replace_engines(fleet, server, sound):
    """Lists a server and a sound engine in place of a service's engines.

    Both are new, so that the gateway prefers neither. Waits for the gateway.
    """
    broken = FleetEngine(BROKEN_ENGINE, service=sound.service)
    broken.address = server.address
    for engine in (*fleet.engines, fleet.plain_engine):
        if engine.service == sound.service:
            await fleet.platform.documents.delete("servers", engine.name)
    for engine in (broken, sound) if sound.address else (broken,):
        await fleet.register(engine)
    log_path = fleet.gateways[0].log_path
    await fleet.wait_until(
        lambda: f'"{BROKEN_ENGINE}"' in log_path.read_text("utf-8")
    )


async def read_stream(fleet, request_id):
    """Returns the numbers of the events of a stream; None if it was cut."""
    try:
        status, body = await fleet.call(
            fleet.gateways[0], "POST", "/events/a", request_id, b"x"
        )
    except aiohttp.ClientError:
        return None
    assert status == 200
    return [int(number) for number in re.findall(rb"(?m)^id: (\d+)$", body)]


def run_beside_broken_engine(directory, body, name, sound, scenario):
    """Runs a scenario with a gateway and the engines of one service.

    Args:
      directory: Where settings and logs are written.
      body: Content of the broken answers.
      name: Kind of the broken answers.
      sound: The other engine of the service; there is none for `plain`.
      scenario: Gets the deployment and the server with the broken answers.
    """
    encode, ending = BROKEN[name]

    async def run():
        async with (
            EarlyServer(encode(body), ending) as server,
            Fleet(directory, 1) as fleet,
        ):
            if sound.service != "plain":
                await sound.start()
            await replace_engines(fleet, server, sound)
            await asyncio.wait_for(scenario(fleet, server), 40)
            assert server.request_count
            log = fleet.gateways[0].log_path.read_text("utf-8")
            assert "A task has failed" not in log
            await sound.stop()

    asyncio.run(run())


@pytest.mark.parametrize("path", ["/plain/a", "/once/a"])
@pytest.mark.parametrize("name", BROKEN)
def test_caller_never_gets_a_broken_answer(tmp_path, name, path):
    # Guards against a part of an answer, or bytes that are no answer, that
    # reach a caller as the answer to its upload.
    async def scenario(fleet, server):
        (gateway,) = fleet.gateways
        for number in range(CALLS):
            sent_before = server.request_count
            status, body = await fleet.call(
                gateway, "POST", path, f"c{number}", UPLOAD
            )
            code = orjson.loads(body)["error"]["code"]
            # What was sent has an unknown outcome. The engine may count as
            # unhealthy after that; then nothing is sent.
            if server.request_count > sent_before:
                assert (status, code // 100) == (502, 20)
            else:
                assert status == 503

    run_beside_broken_engine(
        tmp_path,
        b"part",
        name,
        FleetEngine("unused", service="plain"),
        scenario,
    )


@pytest.mark.parametrize("name", BROKEN)
def test_items_never_hold_a_broken_answer(tmp_path, name):
    # Guards against a text of a batch that ends where a broken answer ended.
    sound = FleetEngine("e3")

    async def scenario(fleet, _):
        (gateway,) = fleet.gateways
        body = orjson.dumps(batch_submission(ITEMS))
        status, _ = await fleet.call(gateway, "POST", "/rollouts/1", "b1", body)
        assert status == 202
        results = []
        while len(results) < ITEMS:
            status, body = await fleet.call(
                gateway, "GET", results_path("b1", len(results)), "read"
            )
            assert status == 200
            results += orjson.loads(body)["results"]
        for result in results:
            lines = result["text"].split("\n")
            own_lines = sound.item_text(result["id"]).split("\n")
            # Whole events before the break may be kept.
            kept = 3 if name == "reset" and lines[0] == "part" else 0
            assert lines == ["part"] * kept + own_lines[kept:]

    run_beside_broken_engine(tmp_path, EVENTS, name, sound, scenario)


@pytest.mark.parametrize("name", BROKEN)
def test_stream_never_ends_as_a_broken_answer_does(tmp_path, name):
    # Guards against a stream to a caller that looks complete at the place where
    # a broken answer ended.
    sound = FleetEngine("w1", pause_s=0.01, service="writers")

    async def scenario(fleet, _):
        whole = list(range(1, sound.event_count + 1))
        # At the same time, so that they spread over the engines.
        streams = await asyncio.gather(
            *(read_stream(fleet, f"s{number}") for number in range(CALLS))
        )
        assert all(numbers in (None, whole) for numbers in streams)
        assert whole in streams

    run_beside_broken_engine(tmp_path, EVENTS, name, sound, scenario)

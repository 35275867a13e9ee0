"""The real entry and sidecar as processes, under faults."""

import asyncio
import os
import pathlib
import re
import signal
import time

import aiohttp
import pytest
from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.standins.demo import publish
from shallotstand.standins.demo_checks import Demo, wait_ready
from shallotstand.standins.demo_client import completion_body
from shallotstand.standins.demo_config import MODEL, TRAINER_KEY
from shallotstand.standins.demo_fleet import Fleet, FleetPlan

SIDECAR_LIMIT_KB = 64 * 1024
MAX_BODY_BYTES = 65536
PATH = "/v1/completions"
AUTH = {"Authorization": f"Bearer {TRAINER_KEY}"}
SHORT = completion_body(MODEL, "short", 2, stream=False)
LONG_STREAM = completion_body(MODEL, "long", 300, stream=True)
LONG_WHOLE = completion_body(MODEL, "long", 300, stream=False)


class Running:
    """One entry, one sidecar and its endpoints, as processes."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession):
        self.fleet = fleet
        self.session = session
        self.entry = fleet.plan.entries[0]
        self.url = f"http://{self.entry.listen}{PATH}"

    def process(self, name: str):
        return self.fleet.programs_by_name[name].process

    def post(self, body: bytes, headers=AUTH):
        return self.session.post(self.url, data=body, headers=headers)

    async def code(self, body: bytes, headers=AUTH) -> tuple[int, int]:
        async with self.post(body, headers) as response:
            await response.read()
            code = response.headers.get("X-Result-Code", "0")
            return response.status, int(code)

    async def ask_raw(self, content: bytes) -> bytes:
        """Sends bytes and returns whatever comes until the end."""
        reader, writer = await asyncio.open_connection(*self.entry.listen)
        writer.write(content)
        answer = await reader.read()
        writer.close()
        return answer


def run_processes(directory: pathlib.Path, check) -> None:
    whole = FleetPlan.demo()
    plan = whole._replace(
        endpoints=tuple(
            endpoint._replace(sidecar="sidecar-1")
            for endpoint in whole.endpoints
            if endpoint.name in ("e1", "q1")
        ),
        entries=whole.entries[:1],
        engine_fields="token_s = 0.005",
        entry_fields="request_timeout_s = 1.0\n"
        f"max_body_bytes = {MAX_BODY_BYTES}",
    )

    async def run() -> None:
        fleet = Fleet(plan, directory)
        await fleet.start()
        try:
            async with asyncio.timeout(30), aiohttp.ClientSession() as session:
                assert (await publish(plan)).faults == ()
                await wait_ready(Demo(plan, session))
                await check(Running(fleet, session))
        finally:
            await fleet.stop()

    asyncio.run(run())


def descriptors(pid: int) -> list[str]:
    directory = pathlib.Path(f"/proc/{pid}/fd")
    return [os.readlink(entry) for entry in directory.iterdir()]


def children(pid: int) -> str:
    tasks = pathlib.Path(f"/proc/{pid}/task")
    return "".join(
        (task / "children").read_text().strip() for task in tasks.iterdir()
    )


def shared_mappings(pid: int) -> list[str]:
    maps = pathlib.Path(f"/proc/{pid}/maps").read_text().splitlines()
    return [line for line in maps if re.search(r"/dev/shm|SYSV|memfd:", line)]


def resident_kb(pid: int) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1])


def test_programs_use_no_forbidden_mechanism(tmp_path):
    # Guards against a library that opens io_uring, forks workers or maps
    # shared memory, which the machines do not allow.
    async def check(running):
        for name in ("entry-1", "sidecar-1", "platform", "endpoints"):
            pid = running.process(name).pid
            print(f"{name}: {resident_kb(pid)} kB resident")
            assert not [d for d in descriptors(pid) if "io_uring" in d]
            assert children(pid) == ""
            assert shared_mappings(pid) == []
        sidecar_pid = running.process("sidecar-1").pid
        assert resident_kb(sidecar_pid) <= SIDECAR_LIMIT_KB

    run_processes(tmp_path, check)


def test_killed_engine_never_leaves_an_answer_that_looks_whole(tmp_path):
    # Guards against a truncated stream that ends like a whole one, and
    # against "not run" for a request that an earlier attempt had run.
    async def check(running):
        whole = asyncio.create_task(running.code(LONG_WHOLE))
        parts, is_cut = [], False
        async with running.post(LONG_STREAM) as response:
            try:
                async for part in response.content.iter_any():
                    if not parts:
                        running.process("endpoints").kill()
                    parts.append(part)
            except aiohttp.ClientError:
                is_cut = True
        stream = b"".join(parts)
        assert b"[DONE]" not in stream
        assert is_cut or b'data: {"error":' in stream
        status, code = await whole
        assert status >= 500
        assert not is_not_run(code), code
        assert running.process("entry-1").returncode is None
        assert running.process("sidecar-1").returncode is None
        await running.fleet.programs_by_name["endpoints"].stop()
        await running.fleet.start_endpoints()
        await wait_ready(Demo(running.fleet.plan, running.session))
        assert await running.code(SHORT) == (200, 0)

    run_processes(tmp_path, check)


def test_killed_sidecar_never_leaves_an_answer_that_looks_whole(tmp_path):
    # Guards against a lost link that ends a stream like a whole one.
    async def check(running):
        parts, is_cut = [], False
        async with running.post(LONG_STREAM) as response:
            try:
                async for part in response.content.iter_any():
                    if not parts:
                        running.process("sidecar-1").kill()
                    parts.append(part)
            except aiohttp.ClientError:
                is_cut = True
        stream = b"".join(parts)
        assert b"[DONE]" not in stream
        assert is_cut or b'"code":2002' in stream
        assert running.process("entry-1").returncode is None

    run_processes(tmp_path, check)


def test_terminated_entry_finishes_its_stream(tmp_path):
    # Guards against a shutdown that cuts answers in progress.
    async def check(running):
        entry = running.process("entry-1")
        parts = []
        async with running.post(LONG_STREAM) as response:
            async for part in response.content.iter_any():
                if not parts:
                    entry.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.1)
                    refused = await running.code(SHORT)
                    assert refused == (503, ResultCode.SHUTTING_DOWN)
                parts.append(part)
        stream = b"".join(parts)
        assert stream.endswith(b"data: [DONE]\n\n")
        assert stream.count(b'"finish_reason":null') == 300
        assert await asyncio.wait_for(entry.wait(), 5.0) == 0

    run_processes(tmp_path, check)


def test_terminated_sidecar_finishes_its_stream(tmp_path):
    # Guards against a leaving endpoint that cuts answers in progress.
    async def check(running):
        sidecar = running.process("sidecar-1")
        async with running.post(LONG_STREAM) as response:
            first = await response.content.readany()
            sidecar.send_signal(signal.SIGTERM)
            rest = await response.content.read()
        assert (first + rest).endswith(b"data: [DONE]\n\n")
        assert await asyncio.wait_for(sidecar.wait(), 5.0) == 0

    run_processes(tmp_path, check)


def raw_head(length: int) -> bytes:
    return (
        f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n"
        f"Authorization: Bearer {TRAINER_KEY}\r\n\r\n"
    ).encode()


def test_bad_requests_get_their_codes(tmp_path):
    # Guards against errors without a number and against a process that a bad
    # caller can end.
    async def check(running):
        unknown = completion_body("none", "x", 1, stream=False)
        for body, headers, expected in (
            (b'{"model":', AUTH, (400, ResultCode.BAD_REQUEST)),
            (b"[]", AUTH, (400, ResultCode.BAD_REQUEST)),
            (b"\xff\xfe", AUTH, (400, ResultCode.BAD_REQUEST)),
            (b'{"model":[]}', AUTH, (404, ResultCode.ROUTE_UNKNOWN)),
            (unknown, AUTH, (404, ResultCode.ROUTE_UNKNOWN)),
            (SHORT, {}, (401, ResultCode.KEY_MISSING)),
            (
                SHORT,
                {"Authorization": "Bearer wrong"},
                (401, ResultCode.KEY_UNKNOWN),
            ),
            (
                b"x" * (MAX_BODY_BYTES + 1),
                AUTH,
                (413, ResultCode.BODY_TOO_LARGE),
            ),
        ):
            assert await running.code(body, headers) == expected
        assert await running.code(SHORT) == (200, 0)

    run_processes(tmp_path, check)


@pytest.mark.parametrize(
    ("content", "code"),
    [
        (raw_head(100) + b"half", ResultCode.REQUEST_TIMEOUT),
        (raw_head(100)[:40], ResultCode.REQUEST_TIMEOUT),
        (raw_head(10**9), ResultCode.BODY_TOO_LARGE),
        (b"no http at all\r\n\r\n", ResultCode.BAD_REQUEST),
    ],
)
def test_broken_senders_get_their_codes(tmp_path, content, code):
    # Guards against a slow or broken sender that holds a connection for ever
    # or gets no numbered error.
    async def check(running):
        started_at = time.monotonic()
        answer = await running.ask_raw(content)
        assert time.monotonic() - started_at < 5.0
        assert b'"code":%d,' % code in answer
        assert await running.code(SHORT) == (200, 0)

    run_processes(tmp_path, check)


def test_closed_connection_cancels_the_run(tmp_path):
    # Guards against engines that go on for callers who have gone.
    async def check(running):
        for _ in range(5):
            async with running.post(LONG_STREAM) as response:
                await response.content.readany()
                response.close()
        assert await running.code(SHORT) == (200, 0)
        await asyncio.sleep(0.5)
        demo = Demo(running.fleet.plan, running.session)
        (record,) = await demo.records("model")
        cut = [run for run in record["runs"] if run["prompt"] == "long"]
        assert len(cut) == 5
        assert max(run["tokens"] for run in cut) < 200

    run_processes(tmp_path, check)

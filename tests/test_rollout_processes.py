"""Rollout steps over real processes of which some are killed."""

import asyncio
import itertools
import pathlib

import aiohttp
import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.standins.demo import publish
from shallotstand.standins.demo_checks import (
    Demo,
    step_faults,
    step_groups,
    wait_ready,
)
from shallotstand.standins.demo_client import completion_body
from shallotstand.standins.demo_config import (
    GUEST_KEY,
    JOB,
    MODEL,
    TRAINER_KEY,
)
from shallotstand.standins.demo_fleet import Fleet, FleetPlan
from shallotstand.standins.trainer import Trainer

STEP_SAMPLES = JOB.group_size * JOB.groups_per_step
# The lease is taken over 12 to 15 s after the holder's last renewal.
TIMEOUT_S = 30.0
ACK = "/0/ack"


def run_fleet(plan: FleetPlan, directory: pathlib.Path, check) -> None:
    """Runs check(fleet, demo) against running programs."""

    async def run() -> None:
        fleet = Fleet(plan, directory)
        await fleet.start()
        try:
            async with (
                asyncio.timeout(TIMEOUT_S),
                aiohttp.ClientSession() as session,
            ):
                assert (await publish(plan)).faults == ()
                demo = Demo(plan, session)
                await wait_ready(demo)
                await check(fleet, demo)
        finally:
            await fleet.stop()

    asyncio.run(run())


def ids_of(step) -> list[str]:
    return [sample["id"] for sample in step.samples]


def kill_holder(fleet: Fleet, trainer) -> None:
    """Kills the entry that leads the job, as the trainer found it."""
    (holder,) = (
        entry.name
        for entry in fleet.plan.entries
        if f"http://{entry.listen}" == trainer.url
    )
    fleet.programs_by_name[holder].process.kill()


def test_step_outlives_its_holder_between_seal_and_acknowledgement(tmp_path):
    # Guards against a takeover that loses a sealed step or delivers samples
    # of an acknowledged step again.
    async def check(fleet, demo):
        trainer = demo.trainer(TRAINER_KEY)
        first = await trainer.take(0, step_groups(0))
        assert (await trainer.acknowledge(0, first.digest)).status == 200
        before = await trainer.take(1, step_groups(1))
        killed = trainer.url
        kill_holder(fleet, trainer)
        # The new holder needs the prompts again before it hands the step over.
        after = await trainer.take(1, step_groups(1))
        assert trainer.url != killed
        assert step_faults(1, after) == []
        assert (after.digest, after.body) == (before.digest, before.body)
        accepted = await trainer.acknowledge(1, after.digest)
        assert accepted.status == 200
        assert await trainer.acknowledge(1, after.digest) == accepted
        for number in (0, 1):
            again = await trainer.take(number, step_groups(number))
            assert again.code == ResultCode.STEP_ACKNOWLEDGED
        last = await trainer.take(2, step_groups(2))
        assert step_faults(2, last) == []
        delivered = ids_of(first) + ids_of(after) + ids_of(last)
        assert len(set(delivered)) == len(delivered) == 3 * STEP_SAMPLES

    run_fleet(FleetPlan.demo(), tmp_path, check)


def test_step_is_whole_although_an_engine_is_killed(tmp_path):
    # Guards against samples that are lost, cut or made twice when one of the
    # engines ends while it generates them.
    whole = FleetPlan.demo()
    plan = whole._replace(
        endpoints=tuple(
            endpoint._replace(program="engine-1")
            if endpoint.name == "e1"
            else endpoint
            for endpoint in whole.endpoints
        ),
        engine_fields="token_s = 0.1",
    )

    async def check(fleet, demo):
        trainer = demo.trainer(TRAINER_KEY)
        (engine,) = [e for e in plan.endpoints if e.name == "e1"]
        await wait_until_used(demo, engine.address)
        taking = asyncio.create_task(trainer.take(0, step_groups(0)))
        async with asyncio.timeout(10):
            while not await running(demo, engine.address):
                await asyncio.sleep(0.05)
        assert not taking.done()
        fleet.programs_by_name["engine-1"].process.kill()
        step = await taking
        assert step_faults(0, step) == []
        assert len(set(ids_of(step))) == STEP_SAMPLES
        assert (await trainer.acknowledge(0, step.digest)).status == 200

    run_fleet(plan, tmp_path, check)


async def wait_until_used(demo: Demo, address) -> None:
    """Sends requests through each entry until an engine runs one of each.

    An engine that starts after its sidecar is used about a second later, and
    a step may be whole by then.
    """
    async with asyncio.timeout(10):
        for number, caller in enumerate(demo.callers(TRAINER_KEY)):
            prompts = (f"use {number}/{n}" for n in itertools.count())
            while not await has_run(demo, address, f"use {number}/"):
                body = completion_body(MODEL, next(prompts), 1, stream=False)
                await caller.post("/v1/completions", body)


async def has_run(demo: Demo, address, prompt_prefix: str) -> bool:
    """Returns whether an engine has run a prompt with this prefix."""
    async with demo.session.get(f"http://{address}/record") as response:
        record = orjson.loads(await response.read())
    return any(
        run["prompt"].startswith(prompt_prefix) for run in record["runs"]
    )


async def running(demo: Demo, address) -> int:
    """Returns the number of requests that an engine reports to run."""
    async with demo.session.get(f"http://{address}/load") as response:
        return (await response.json())["running"]


def groups_body(number: int, **fields) -> bytes:
    return orjson.dumps(
        {"groups": [group | fields for group in step_groups(number)]}
    )


def refused_requests(digest: str):
    """Returns method, path, body and code of requests after a sealed step."""
    fewer = orjson.dumps({"groups": step_groups(0)[1:]})
    conflict = groups_body(0, max_tokens=1)
    other = orjson.dumps({"digest": "other"})
    same = orjson.dumps({"digest": digest})
    return (
        ("POST", "/1", b"", ResultCode.BAD_REQUEST),
        ("POST", "/1", b'{"groups":', ResultCode.BAD_REQUEST),
        ("POST", "/1", b"\xff", ResultCode.BAD_REQUEST),
        ("POST", "/1", b"[]", ResultCode.BAD_REQUEST),
        ("POST", "/1", b'{"groups":{}}', ResultCode.BAD_REQUEST),
        ("POST", "/1", b'{"groups":[1]}', ResultCode.BAD_REQUEST),
        ("POST", "/1", b'{"groups":[{"prompt":1}]}', ResultCode.BAD_REQUEST),
        ("POST", "/1", fewer, ResultCode.BAD_REQUEST),
        ("POST", "/0", conflict, ResultCode.STEP_CONFLICT),
        ("POST", "/9", groups_body(9), ResultCode.STEP_OUT_OF_ORDER),
        ("GET", "/1", b"", ResultCode.STEP_UNKNOWN),
        ("GET", "/0?wait=soon", b"", ResultCode.BAD_REQUEST),
        ("GET", "/first", b"", ResultCode.ROUTE_UNKNOWN),
        ("POST", "/0/ack", b"", ResultCode.BAD_REQUEST),
        ("POST", "/0/ack", b'{"digest":1}', ResultCode.BAD_REQUEST),
        ("POST", "/0/ack", other, ResultCode.STEP_RESEALED),
        ("POST", "/1/ack", other, ResultCode.STEP_UNKNOWN),
        ("POST", "/0/ack", same, ResultCode.OK),
        ("POST", "/0/ack", other, ResultCode.STEP_ACKNOWLEDGED),
    )


def test_trainer_routes_refuse_with_their_codes(tmp_path):
    # Guards against refusals without a number and against a refused request
    # that changes the step.
    async def check(fleet, demo):
        trainer = demo.trainer(TRAINER_KEY)
        digest = (await trainer.take(0, step_groups(0))).digest
        url = trainer.url
        for key, job, code in (
            ("", JOB.name, ResultCode.KEY_MISSING),
            ("wrong", JOB.name, ResultCode.KEY_UNKNOWN),
            (GUEST_KEY, JOB.name, ResultCode.NOT_ALLOWED),
            (TRAINER_KEY, "none", ResultCode.JOB_UNKNOWN),
        ):
            stranger = Trainer(demo.session, (url,), key, job)
            for method, path in (("POST", "/0"), ("GET", "/0"), ("POST", ACK)):
                answer = await stranger.ask(url, method, path, b"{}")
                assert answer.code == code, (method, path)
                assert answer.status == Failure(code, "").code_info.http_status
        for method, path, body, code in refused_requests(digest):
            answer = await trainer.ask(url, method, path, body)
            assert answer.code == code, (method, path, body, answer)

    run_fleet(FleetPlan.demo(), tmp_path, check)

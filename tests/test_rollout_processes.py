"""Rollout steps over real processes of which some are killed."""

import asyncio
import pathlib

import aiohttp
from shallotstand.core.codes import ResultCode
from shallotstand.standins.demo import publish
from shallotstand.standins.demo_checks import (
    Demo,
    step_faults,
    step_groups,
    wait_ready,
)
from shallotstand.standins.demo_config import JOB, TRAINER_KEY
from shallotstand.standins.demo_fleet import Fleet, FleetPlan

STEP_SAMPLES = JOB.group_size * JOB.groups_per_step
# The lease is taken over 12 to 15 s after the holder's last renewal.
TIMEOUT_S = 30.0


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
        taking = asyncio.create_task(trainer.take(0, step_groups(0)))
        (engine,) = [e for e in plan.endpoints if e.name == "e1"]
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


async def running(demo: Demo, address) -> int:
    """Returns the number of requests that an engine reports to run."""
    async with demo.session.get(f"http://{address}/load") as response:
        return (await response.json())["running"]

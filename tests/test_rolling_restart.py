"""A restart of one process of a fleet after the other, under load."""

import asyncio
import time

import aiohttp
from shallotstand.core.codes import NOT_RUN_RANGE
from shallotstand.standins.demo import publish
from shallotstand.standins.demo_checks import Demo, wait_ready
from shallotstand.standins.demo_client import Caller, completion_body
from shallotstand.standins.demo_config import GUEST_KEY, MODEL, TRAINER_KEY
from shallotstand.standins.demo_fleet import ControllerPlan, Fleet, FleetPlan
from shallotstand.standins.processes import free_address

PATH = "/v1/completions"
NAMES = tuple(
    f"{role}-{number}"
    for role in ("controller", "sidecar", "entry")
    for number in (1, 2)
)
CALLERS = 8
STOP_LIMIT_S = 20.0


class Outcome:
    """What the callers saw."""

    def __init__(self) -> None:
        self.answered = 0
        self.refused = 0
        self.unreached = 0
        self.cut: list[str] = []
        self.is_over = False


async def call(callers: list[Caller], stream: bool, outcome: Outcome) -> None:
    """Sends requests; one that was refused goes to the other entry."""
    body = completion_body(MODEL, "Plant a row", 60, stream)
    turn = 0
    while not outcome.is_over:
        try:
            answer = await callers[turn % 2].post(PATH, body)
        except aiohttp.ClientConnectorError:
            outcome.unreached += 1  # nothing was sent
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome.cut.append(repr(error))
        else:
            is_whole = answer.status == 200 and (
                not stream or answer.body.endswith(b"data: [DONE]\n\n")
            )
            if is_whole:
                outcome.answered += 1
                continue
            if answer.code in NOT_RUN_RANGE:
                outcome.refused += 1
            else:
                outcome.cut.append(f"{answer.status} {answer.code}")
        turn += 1
        await asyncio.sleep(0.05)


def test_rolling_restart_cuts_no_request(tmp_path):
    # Guards against a shutdown or start that loses requests in progress.
    plan = FleetPlan.demo()._replace(
        controllers=tuple(
            ControllerPlan(name, free_address()) for name in NAMES[:2]
        ),
        sidecar_fields="usage_shards = 2",
        controller_fields="usage_shards = 2",
    )

    async def run() -> None:
        fleet, outcome = Fleet(plan, tmp_path), Outcome()
        await fleet.start()
        try:
            async with aiohttp.ClientSession() as session:
                assert (await publish(plan)).faults == ()
                demo = Demo(plan, session)
                await wait_ready(demo)
                keys = (TRAINER_KEY, GUEST_KEY)
                tasks = [
                    asyncio.create_task(
                        call(
                            list(demo.callers(keys[n % 2]))[
                                :: 1 - n // 2 % 2 * 2
                            ],
                            n % 4 < 2,
                            outcome,
                        )
                    )
                    for n in range(CALLERS)
                ]
                for name in NAMES:
                    started = time.monotonic()
                    assert await fleet.restart(name, STOP_LIMIT_S) == 0, name
                    print(f"{name}: {time.monotonic() - started:.1f} s")
                    await wait_ready(demo)
                    # Until the sidecars and entries have joined again.
                    await asyncio.sleep(1.0)
                outcome.is_over = True
                await asyncio.gather(*tasks)
        finally:
            for program in fleet.programs_by_name.values():
                if program.process.returncode is None:
                    program.process.kill()
            await fleet.stop()
        print(vars(outcome))
        assert outcome.cut == []
        assert outcome.answered > 100

    asyncio.run(run())

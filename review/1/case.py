"""A server runs unsafe requests, and some of its answers are lost."""

import asyncio
import collections
import pathlib

from deployment import Deployment, Record, call, route, run_case
from engine_standin import EngineStandin, Request, reset

REQUESTS = 340
PAUSE_S = 0.01
# Largest dose of the site file: a half of the servers, 5 of 100 answers, 4 s.
LOSING_SERVERS = 2
LOST_EACH = 20
METHODS = ("PUT", "POST", "DELETE", "POST")


class LosingEngine(EngineStandin):
    """A server that runs requests; each twentieth answer is lost."""

    loses_answers = False

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._count_by_kind: collections.Counter[bool] = collections.Counter()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request; resets its channel instead of some answers."""
        self.record_run(request)
        await asyncio.sleep(self.work_s)
        is_post = request.method == "POST"
        self._count_by_kind[is_post] += 1
        if self.loses_answers and self._count_by_kind[is_post] % LOST_EACH == 0:
            self.log(f"{self.name} loses the answer to {request.id}")
            reset(writer)
            return
        self.respond(request, writer, 200, b"done")


async def case(deployment: Deployment, log: Record, has_trouble: bool) -> bool:
    """Returns whether each unsafe request ran once at most."""
    engines = [
        LosingEngine(f"engine-{number}", "yard-desk", log)
        for number in range(4)
    ]
    (gateway,) = await deployment.start(
        [route("once", "unsafe", "yard-desk")], engines, gateway_count=1
    )
    for engine in engines[:LOSING_SERVERS]:
        engine.loses_answers = has_trouble

    async def send(number: int) -> None:
        method = METHODS[number % len(METHODS)]
        attempt_id = f"attempt-{number}-{method}"
        body = b"" if method == "DELETE" else b"order"
        answer = await call(
            gateway, method, f"/once/{number}", attempt_id, body
        )
        log(f"client got {answer.status} for {attempt_id}")

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    run_counts = collections.Counter(
        attempt_id for engine in engines for _, attempt_id, _ in engine.runs
    )
    repeated = {one: count for one, count in run_counts.items() if count > 1}
    log(f"ran: {len(run_counts)} requests; more than once: {repeated}")
    return not repeated


run_case(case, str(pathlib.Path(__file__).parent))

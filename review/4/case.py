"""A server sends additional bytes without end after complete answers."""

import asyncio
import contextlib
import pathlib
import time

from deployment import Deployment, Machine, Record, call, route, run_case
from engine_standin import EngineStandin, Request

# As base-quote of the site, whose servers take 25 ms.
TIMEOUT_MS = 1500
# Reward calls come in clumps, as groups of a batch are completed.
CLUMPS = 10
CLUMP_SIZE = 28
PAUSE_S = 1.0
# Largest dose of the site file: 6 of 10 servers, 3 of 100 answers, 5 s.
FAULTY_SERVERS = 2
FAULTY_EACH = 34
TROUBLE_FROM_CLUMP = 2
TROUBLE_FOR_S = 5.0
# Time between a complete answer and the additional bytes.
LATE_S = 0.1
ADDITIONAL = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 500
# An answer is due half a second after the route's time.
SLACK_S = 0.5
MEMORY_MB = 300


class EndlessEngine(EngineStandin):
    """A server that goes on sending after some of its answers."""

    faulty_until = 0.0

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._answer_count = 0
        self._tasks: list[asyncio.Task] = []

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it."""
        self.record_run(request)
        await asyncio.sleep(self.work_s)
        self.respond(request, writer, 200, request.body)
        self._answer_count += 1
        if (
            time.monotonic() < self.faulty_until
            and self._answer_count % FAULTY_EACH == 1
        ):
            self._tasks.append(asyncio.create_task(self._go_on(writer)))

    async def _go_on(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(LATE_S)
        self.log(f"{self.name} begins to send additional bytes")
        sent = 0
        with contextlib.suppress(OSError):
            while not writer.is_closing() and (
                time.monotonic() < self.faulty_until
            ):
                writer.write(ADDITIONAL)
                await writer.drain()
                sent += len(ADDITIONAL)
        writer.close()
        self.log(f"{self.name} has sent {sent} additional bytes")


def memory_mb(machine: Machine) -> int:
    """Returns the resident memory of a machine's program."""
    path = pathlib.Path(f"/proc/{machine.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) // 1024
    return 0


async def case(deployment: Deployment, log: Record, has_trouble: bool) -> bool:
    """Returns whether late requests got an answer at their route's time."""
    engines = [
        EndlessEngine(f"engine-{number}", "yard-desk", log)
        for number in range(4)
    ]
    (gateway,) = await deployment.start(
        [route("quote", "safe", "yard-desk", timeout_ms=TIMEOUT_MS)],
        engines,
        gateway_count=1,
    )
    unanswered_count = late_count = 0

    async def send(number: int) -> None:
        nonlocal unanswered_count, late_count
        started = time.monotonic()
        answer = await call(
            gateway,
            "POST",
            f"/quote/{number}",
            f"attempt-{number}",
            b"question",
            deadline_ms=4000,
        )
        took_s = time.monotonic() - started
        log(f"client got {answer.status} after {took_s:.2f} s for {number}")
        if took_s > TIMEOUT_MS / 1000:
            unanswered_count += 1
            late_count += took_s > TIMEOUT_MS / 1000 + SLACK_S

    most_mb = 0
    tasks = []
    for clump in range(CLUMPS):
        if has_trouble and clump == TROUBLE_FROM_CLUMP:
            log(f"the fault of {FAULTY_SERVERS} servers begins")
            for engine in engines[:FAULTY_SERVERS]:
                engine.faulty_until = time.monotonic() + TROUBLE_FOR_S
        tasks += [
            asyncio.create_task(send(clump * CLUMP_SIZE + number))
            for number in range(CLUMP_SIZE)
        ]
        await asyncio.sleep(PAUSE_S)
        most_mb = max(most_mb, memory_mb(gateway))
    await asyncio.gather(*tasks)
    log(f"most memory of the gateway: {most_mb} MB of {MEMORY_MB}")
    log(
        f"unanswered at the route's {TIMEOUT_MS} ms: {unanswered_count}; "
        f"of these without an answer 0.5 s later: {late_count}"
    )
    return late_count * 2 <= unanswered_count


run_case(case, str(pathlib.Path(__file__).parent))

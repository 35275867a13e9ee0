"""Carries out a load plan over HTTP."""

import asyncio
import sys
from collections.abc import Iterable

import aiohttp
import orjson
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.load.figures import BROKEN, WRONG, Figures, Outcome
from shallotstand.load.plan import PlannedRequest
from shallotstand.load.settings import LoadSettings
from shallotstand.outbound.response_handler import BoundedConnector

_PROGRESS_INTERVAL_S = 1.0
_DONE = b"data: [DONE]\n\n"
_ERROR_EVENT = b'data: {"error":'


class LoadRun:
    """One run of a plan.

    Attributes:
      figures: What was measured so far.
    """

    def __init__(self, settings: LoadSettings, clock: Clock):
        self.figures = Figures()
        self._settings = settings
        self._clock = clock
        self._in_flight: set[asyncio.Task] = set()

    async def run(self, plan: Iterable[PlannedRequest]) -> None:
        """Sends every request at its time and waits for all answers."""
        connector = BoundedConnector(limit=self._settings.max_in_flight)
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        progress = asyncio.create_task(self._report_progress())
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            started_at = self._clock.monotonic()
            for request in plan:
                due_at = started_at + request.at_s
                await asyncio.sleep(max(0.0, due_at - self._clock.monotonic()))
                self._start(session, request, due_at)
            await asyncio.gather(*self._in_flight)
        progress.cancel()

    def _start(
        self,
        session: aiohttp.ClientSession,
        request: PlannedRequest,
        due_at: float,
    ) -> None:
        if len(self._in_flight) >= self._settings.max_in_flight:
            self.figures.skipped += 1
            return
        task = asyncio.create_task(self._send(session, request, due_at))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        request: PlannedRequest,
        due_at: float,
    ) -> None:
        """Sends one request.

        Times count from the planned arrival, so that a late start of a busy
        generator is not hidden.
        """
        first_byte_at = due_at
        try:
            async with session.post(
                f"http://{request.target}/v1/completions",
                data=request.body,
                headers={
                    "Authorization": f"Bearer {request.account.key}",
                    "X-Priority": request.priority,
                },
            ) as response:
                parts = []
                async for part in response.content.iter_any():
                    if not parts:
                        first_byte_at = self._clock.monotonic()
                    parts.append(part)
            code, problem = judge_answer(
                response.status, b"".join(parts), request.streamed
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            code, problem = 0, BROKEN
        self.figures.add(
            Outcome(
                account=request.account.name,
                code=code,
                problem=problem,
                first_byte_s=first_byte_at - due_at,
                total_s=self._clock.monotonic() - due_at,
            )
        )

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(_PROGRESS_INTERVAL_S)
            print(
                f"{self.figures.ended} ended, {len(self._in_flight)} in flight",
                file=sys.stderr,
            )


def judge_answer(status: int, body: bytes, streamed: bool) -> tuple[int, str]:
    """Returns the result code and the problem of an answer.

    Args:
      status: HTTP status.
      body: The whole body.
      streamed: Whether a stream was asked for.
    """
    if status != 200:
        return _error_code(body)
    if streamed:
        if body.endswith(_DONE):
            return 0, ""
        _, found, error = body.rpartition(_ERROR_EVENT)
        return _error_code(b'{"error":' + error) if found else (0, WRONG)
    try:
        choices = orjson.loads(body)["choices"]
        finished = bool(choices[0]["finish_reason"])
    except (ValueError, KeyError, TypeError, IndexError):
        finished = False
    return (0, "") if finished else (0, WRONG)


def _error_code(body: bytes) -> tuple[int, str]:
    try:
        code = ResultCode(orjson.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return 0, WRONG
    return int(code), ""

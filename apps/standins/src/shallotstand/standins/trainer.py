"""A stand-in trainer: takes steps of a rollout job over HTTP."""

import asyncio
from typing import Any, NamedTuple

import aiohttp
import orjson
from shallotstand.core.codes import ResultCode

_RETRY_DELAY_S = 0.1
_WAIT_S = 5.0
# What passes with time: a lease that is not taken yet, a step in progress, a
# store that is down.
_REPEATABLE = frozenset(
    {
        ResultCode.JOB_UNKNOWN,
        ResultCode.NOT_JOB_HOLDER,
        ResultCode.STEP_INCOMPLETE,
        ResultCode.STORE_UNAVAILABLE,
    }
)


class TrainerAnswer(NamedTuple):
    """An answer as the trainer sees it.

    Attributes:
      status: HTTP status.
      code: Result code; 0 unless the body is an error.
      body: The whole body.
      digest: Digest of a fetched step; empty for other answers.
    """

    status: int
    code: int
    body: bytes
    digest: str

    @property
    def samples(self) -> list[dict[str, Any]]:
        """Samples of a fetched step."""
        return orjson.loads(self.body)["samples"]


class Trainer:
    """Speaks for one job with whichever entry leads it.

    Attributes:
      url: Address of the entry that answered last.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: tuple[str, ...],
        key: str,
        job: str,
    ):
        self.url = urls[0]
        self._session = session
        self._urls = urls
        self._headers = {"Authorization": f"Bearer {key}"}
        self._path = f"/v1/jobs/{job}/steps"

    async def post(
        self, number: int, groups: list[dict[str, Any]]
    ) -> TrainerAnswer:
        """Posts the prompts of a step."""
        body = orjson.dumps({"groups": groups})
        return await self._ask_holder("POST", f"/{number}", body)

    async def fetch(self, number: int) -> TrainerAnswer:
        """Fetches a step; waits until it is whole."""
        return await self._ask_holder("GET", f"/{number}?wait={_WAIT_S}")

    async def acknowledge(self, number: int, digest: str) -> TrainerAnswer:
        """Acknowledges a step."""
        body = orjson.dumps({"digest": digest})
        return await self._ask_holder("POST", f"/{number}/ack", body)

    async def take(
        self, number: int, groups: list[dict[str, Any]]
    ) -> TrainerAnswer:
        """Posts a step and fetches it, again if its holder changed."""
        while True:
            answer = await self.post(number, groups)
            if answer.code:
                return answer
            answer = await self.fetch(number)
            if answer.code != ResultCode.STEP_UNKNOWN:
                return answer

    async def ask(
        self, url: str, method: str, path: str, body: bytes = b""
    ) -> TrainerAnswer:
        """Sends one request to one entry.

        Raises:
          aiohttp.ClientError, TimeoutError: No whole answer.
        """
        async with self._session.request(
            method, url + self._path + path, data=body, headers=self._headers
        ) as response:
            return TrainerAnswer(
                response.status,
                int(response.headers.get("X-Result-Code", 0)),
                await response.read(),
                response.headers.get("ETag", "").strip('"'),
            )

    async def _ask_holder(
        self, method: str, path: str, body: bytes = b""
    ) -> TrainerAnswer:
        """Asks the entries in turn until one that leads the job answers."""
        while True:
            try:
                answer = await self.ask(self.url, method, path, body)
            except aiohttp.ClientError:
                answer = None
            if answer is not None and answer.code not in _REPEATABLE:
                return answer
            if answer is None or answer.code != ResultCode.STEP_INCOMPLETE:
                place = self._urls.index(self.url) + 1
                self.url = self._urls[place % len(self._urls)]
            await asyncio.sleep(_RETRY_DELAY_S)

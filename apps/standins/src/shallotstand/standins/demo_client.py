"""A caller of the demo: sends requests and reads whole answers."""

import asyncio
from typing import NamedTuple

import aiohttp
import orjson
from shallotstand.core.codes import NOT_RUN_RANGE

_RETRY_DELAY_S = 0.1
_DONE = b"data: [DONE]"
_DATA = b"data: "


class CallerAnswer(NamedTuple):
    """An answer as the caller sees it.

    Attributes:
      status: HTTP status.
      code: Result code; 0 unless the body is an error.
      body: The whole body.
    """

    status: int
    code: int
    body: bytes


class Caller:
    """Sends requests with a key to one address."""

    def __init__(self, session: aiohttp.ClientSession, url: str, key: str):
        self._session = session
        self._url = url
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    async def post(
        self, path: str, body: bytes, priority: str = "interactive"
    ) -> CallerAnswer:
        """Sends a request.

        Raises:
          aiohttp.ClientError, TimeoutError: No whole answer.
        """
        async with self._session.post(
            self._url + path,
            data=body,
            headers=self._headers | {"X-Priority": priority},
        ) as response:
            content = await response.read()
            code = int(response.headers.get("X-Result-Code", 0))
            return CallerAnswer(response.status, code, content)

    async def post_until_run(
        self, path: str, body: bytes, timeout_s: float
    ) -> CallerAnswer:
        """Repeats a request while it is refused as "not run".

        Raises:
          TimeoutError: It was refused until the time was over.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                answer = await self.post(path, body)
                if answer.code not in NOT_RUN_RANGE:
                    return answer
                await asyncio.sleep(_RETRY_DELAY_S)


def completion_body(
    model: str, prompt: str, tokens: int, stream: bool
) -> bytes:
    """Returns the body of a completion request."""
    return orjson.dumps(
        {
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
    )


def streamed_text(body: bytes) -> str | None:
    """Returns the text of a stream; None if it has no end marker."""
    events = [event for event in body.split(b"\n\n") if event]
    if not events or events[-1] != _DONE:
        return None
    fields = (orjson.loads(event[len(_DATA) :]) for event in events[:-1])
    return "".join(
        choice["text"] for event in fields for choice in event["choices"]
    )

"""Answers that arrive from a sidecar."""

import asyncio
from collections.abc import AsyncIterator

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.messages import Chunk, Frame


class AnswerStream:
    """The parts of one answer, in order.

    Attributes:
      number: Number of the stream on its connection.
      head: First part, once `wait_for_head` has returned it.
      last: Last part, once it has arrived.
    """

    def __init__(self, number: int):
        self.number = number
        self.head: Frame | None = None
        self.last: Frame | None = None
        self._parts: asyncio.Queue[Frame | Chunk] = asyncio.Queue()

    def put(self, part: Frame | Chunk) -> None:
        """Appends a part that the connection's reading task received."""
        self._parts.put_nowait(part)

    async def wait_for_head(self) -> Frame | Failure:
        """Waits for the first part of the answer.

        Errors:
          ENDPOINT_BAD_ANSWER: The answer has no head.
          Any code that the sidecar reported in place of an answer.
        """
        part = await self._parts.get()
        if not isinstance(part, Frame):
            return Failure(
                ResultCode.ENDPOINT_BAD_ANSWER, "The answer has no head."
            )
        self.head = part
        if part.end:
            self.last = part
            if part.code != ResultCode.OK:
                return Failure(ResultCode(part.code), part.reason)
        return part

    async def chunks(self) -> AsyncIterator[bytes | Failure]:
        """Yields the body; a Failure comes last if the answer was cut."""
        part: Frame | Chunk | None = self.head
        while part is not None:
            if part.data:
                yield part.data
            if isinstance(part, Frame) and part.end:
                self.last = part
                if part.code != ResultCode.OK:
                    yield Failure(ResultCode(part.code), part.reason)
                return
            part = await self._parts.get()

    @property
    def tokens(self) -> int:
        """Tokens that the sidecar counted; 0 until the last part arrives."""
        if self.last is None:
            return 0
        return self.last.prompt_tokens + self.last.completion_tokens

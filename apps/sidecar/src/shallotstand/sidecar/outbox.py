"""Collects parts of answers, so that one message carries many streams."""

import asyncio

from shallotstand.link.link import Link
from shallotstand.link.messages import Chunk, Chunks, Frame, Frames


class Outbox:
    """Parts of answers that wait for the next message on one connection.

    Parts of one stream keep their order: what waits for a stream is joined
    with what follows, and one message is sent after the other.

    Attributes:
      is_closed: Whether the connection was lost.
    """

    def __init__(self, link: Link):
        self._link = link
        self.is_closed = False
        self._data_by_stream: dict[int, list[bytes]] = {}
        self._head_by_stream: dict[int, Frame] = {}
        self._ended: list[Frame] = []
        self._due: float | None = None
        self._changed = asyncio.Event()

    def head(self, frame: Frame, flush_s: float) -> None:
        """Adds the first part of an answer, which holds its status."""
        self._head_by_stream[frame.stream] = frame
        self._wait_at_most(flush_s)

    def data(self, stream: int, data: bytes, flush_s: float) -> None:
        """Adds bytes that may wait for the flush interval."""
        self._data_by_stream.setdefault(stream, []).append(data)
        self._wait_at_most(flush_s)

    def end(self, frame: Frame) -> None:
        """Adds the last part of an answer, which is sent at once."""
        waiting = self._take_data(frame.stream)
        head = self._head_by_stream.pop(frame.stream, None)
        if head is not None:
            frame = frame._replace(
                status=head.status, content_type=head.content_type
            )
        self._ended.append(frame._replace(data=waiting + frame.data))
        self._wait_at_most(0.0)

    def drop(self, stream: int) -> None:
        """Forgets a stream whose caller has gone."""
        self._data_by_stream.pop(stream, None)
        self._head_by_stream.pop(stream, None)

    async def run(self) -> None:
        """Sends what waits whenever it is due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._changed.wait()
            self._changed.clear()
            delay = 0.0 if self._due is None else self._due - loop.time()
            if delay > 0:
                try:
                    async with asyncio.timeout(delay):
                        await self._changed.wait()
                    continue
                except TimeoutError:
                    pass
            self.flush()

    def flush(self) -> None:
        """Sends everything that waits."""
        self._due = None
        frames = [
            head._replace(data=self._take_data(stream))
            for stream, head in self._head_by_stream.items()
        ]
        frames.extend(self._ended)
        chunks = tuple(
            Chunk(stream, b"".join(parts))
            for stream, parts in self._data_by_stream.items()
        )
        self._head_by_stream.clear()
        self._data_by_stream.clear()
        self._ended = []
        if frames:
            self._link.send(Frames(tuple(frames)))
        if chunks:
            self._link.send(Chunks(chunks))

    def _take_data(self, stream: int) -> bytes:
        return b"".join(self._data_by_stream.pop(stream, ()))

    def _wait_at_most(self, seconds: float) -> None:
        due = asyncio.get_running_loop().time() + seconds
        if self._due is None or due < self._due:
            self._due = due
            self._changed.set()

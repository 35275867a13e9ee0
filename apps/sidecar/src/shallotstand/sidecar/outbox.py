"""Batches parts of answers, so that one message serves many streams."""

import asyncio

from shallotstand.link.link import Link
from shallotstand.link.messages import Chunk, Chunks, Frame, Frames


class Outbox:
    """Parts of answers that wait to be sent on one connection.

    Parts of a stream keep their order: waiting parts are joined with later
    ones, and messages are sent one after the other.

    Attributes:
      is_closed: Whether the connection was closed.
    """

    def __init__(self, link: Link):
        self._link = link
        self.is_closed = False
        self._data_by_stream: dict[int, list[bytes]] = {}
        self._head_by_stream: dict[int, Frame] = {}
        self._end_frames: list[Frame] = []
        self._flush_at: float | None = None
        self._changed = asyncio.Event()

    def add_head(self, frame: Frame, flush_s: float) -> None:
        """Adds the first part of an answer, which has its status.

        Args:
          frame: Frame with status and content type.
          flush_s: Longest time in seconds until the frame is sent.
        """
        self._head_by_stream[frame.stream] = frame
        self._schedule_flush(flush_s)

    def add_data(self, stream: int, data: bytes, flush_s: float) -> None:
        """Adds bytes of an answer.

        Args:
          stream: Number of the answer's stream.
          data: The bytes.
          flush_s: Longest time in seconds until the bytes are sent.
        """
        self._data_by_stream.setdefault(stream, []).append(data)
        self._schedule_flush(flush_s)

    def add_end(self, frame: Frame) -> None:
        """Adds the last part of an answer, which is sent at once."""
        pending_data = self._pop_data(frame.stream)
        head = self._head_by_stream.pop(frame.stream, None)
        if head is not None:
            frame = frame._replace(
                status=head.status, content_type=head.content_type
            )
        self._end_frames.append(frame._replace(data=pending_data + frame.data))
        self._schedule_flush(0.0)

    def drop(self, stream: int) -> None:
        """Drops the waiting parts of a stream whose caller disconnected."""
        self._data_by_stream.pop(stream, None)
        self._head_by_stream.pop(stream, None)

    async def run(self) -> None:
        """Sends the waiting parts when they are due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._changed.wait()
            self._changed.clear()
            delay = (
                0.0 if self._flush_at is None else self._flush_at - loop.time()
            )
            if delay > 0:
                try:
                    async with asyncio.timeout(delay):
                        await self._changed.wait()
                    continue
                except TimeoutError:
                    pass
            self.flush()

    def flush(self) -> None:
        """Sends all waiting parts."""
        self._flush_at = None
        frames = [
            head._replace(data=self._pop_data(stream))
            for stream, head in self._head_by_stream.items()
        ]
        frames.extend(self._end_frames)
        chunks = tuple(
            Chunk(stream, b"".join(parts))
            for stream, parts in self._data_by_stream.items()
        )
        self._head_by_stream.clear()
        self._data_by_stream.clear()
        self._end_frames = []
        if frames:
            self._link.send(Frames(tuple(frames)))
        if chunks:
            self._link.send(Chunks(chunks))

    def _pop_data(self, stream: int) -> bytes:
        return b"".join(self._data_by_stream.pop(stream, ()))

    def _schedule_flush(self, seconds: float) -> None:
        due = asyncio.get_running_loop().time() + seconds
        if self._flush_at is None or due < self._flush_at:
            self._flush_at = due
            self._changed.set()

"""A proxy between two gateways that resets the channels through it."""

import asyncio
import contextlib


class ResettingProxy:
    """Forwards channels to one address until it is told to reset them.

    Attributes:
      port: Port at which it listens, on the address of its target.
    """

    def __init__(self, host: str, port: int):
        self._target = (host, port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._forward_channel, self._target[0], 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all channels."""
        self._server.close()
        self.reset_open()

    def reset_open(self) -> int:
        """Resets all open channels; new ones work. Returns their number."""
        count = len(self._writers) // 2
        for writer in self._writers:
            writer.transport.abort()
        return count

    async def _forward_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other_reader, other_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, other_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                _forward(reader, other_writer), _forward(other_reader, writer)
            )
        finally:
            self._writers -= writers
            for one in writers:
                one.close()


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(65_536):
            writer.write(chunk)
            await writer.drain()
    if not writer.is_closing():
        writer.close()

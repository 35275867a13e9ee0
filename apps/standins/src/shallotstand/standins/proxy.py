"""A loopback TCP proxy that delays, resets or silences connections."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What the proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    CUT = "cut"
    SILENT = "silent"
    ONE_WAY = "one way"


class Proxy:
    """Forwards connections to one address.

    Attributes:
      mode: What is done with bytes received from now on.
      address: Address to connect to instead.
    """

    def __init__(self, target: str, delay_s: float = 0.2):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.mode = Mode.PASS
        self.address = ""

    async def start(self) -> None:
        """Listens on loopback."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.set_mode(Mode.CUT)

    def heal(self) -> None:
        """Passes bytes again; connections that may have lost some are reset."""
        self.set_mode(Mode.CUT)
        self.set_mode(Mode.PASS)

    def set_mode(self, mode: Mode) -> None:
        """Changes the mode; `CUT` also resets the open connections."""
        self.mode = mode
        if mode is Mode.CUT:
            for writer in self._writers:
                writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.CUT:
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, False),
                self._forward(target_reader, writer, True),
            )
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.mode is Mode.SILENT:
                    continue
                if self.mode is Mode.ONE_WAY and is_response:
                    continue
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                writer.write(chunk)
                await writer.drain()
        if not writer.is_closing():
            writer.close()

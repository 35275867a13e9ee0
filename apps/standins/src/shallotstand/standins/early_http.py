"""An HTTP server that answers as soon as a request's head has arrived."""

import asyncio
import contextlib
import enum
import re

from shallotstand.standins.scripted_http import reset_connection

# Stands for the identifier of the request that is answered.
REQUEST_ID = b"<request-id>"
_REQUEST_ID_LINE = re.compile(
    rb"\r\nX-Shallotstand-Attempt-Id: *([^\r]*)", re.I
)


class Ending(enum.Enum):
    """How the server ends a connection after its answer.

    KEEP reads on until the client closes. CLOSE ends the server's side in
    order and reads the rest of the request; CLOSE_UNREAD reads nothing more.
    RESET leaves the rest of the request unread and resets the connection.
    """

    KEEP = enum.auto()
    CLOSE = enum.auto()
    CLOSE_UNREAD = enum.auto()
    RESET = enum.auto()


class EarlyServer:
    """Sends the same bytes on each connection, then ends it.

    Attributes:
      address: Host and port that the server listens on.
      request_count: Number of requests whose heads have arrived.
    """

    def __init__(self, answer: bytes, ending: Ending, pause_s: float = 0.02):
        """Creates a server.

        Args:
          answer: What it sends; `REQUEST_ID` in it is replaced.
          ending: How the connection ends.
          pause_s: Seconds between the answer and the end of the connection.
        """
        self._answer = answer
        self._ending = ending
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None
        self._transports: set[asyncio.Transport] = set()
        self.address = ""
        self.request_count = 0

    async def __aenter__(self) -> "EarlyServer":
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for transport in self._transports:
            transport.abort()
        # Lets the tasks of the connections end.
        await asyncio.sleep(0.01)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._transports.add(writer.transport)
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, OSError
        ):
            head = await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            match = _REQUEST_ID_LINE.search(head)
            request_id = match[1] if match else b""
            writer.write(self._answer.replace(REQUEST_ID, request_id))
            await writer.drain()
            await asyncio.sleep(self._pause_s)
            await self._end(reader, writer)
        self._transports.discard(writer.transport)
        writer.transport.abort()

    async def _end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        match self._ending:
            case Ending.RESET:
                reset_connection(writer)
            case Ending.CLOSE:
                writer.write_eof()
                await _discard(reader)
            case Ending.CLOSE_UNREAD:
                writer.write_eof()
                await asyncio.Event().wait()
            case Ending.KEEP:
                await _discard(reader)


async def _discard(reader: asyncio.StreamReader) -> None:
    """Reads until the client closes."""
    while await reader.read(1 << 16):
        pass

"""An HTTP server whose responses never end, or that goes on after them."""

import asyncio
import enum

# The head of a response to the request `r1`, up to its other headers.
_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Shallotstand-Attempt-Id: r1\r\n"
    b"X-Shallotstand-Server-Seal: seal\r\n"
)


class EndlessPart(enum.Enum):
    """The part of a response that goes on until the client closes.

    Each value holds the bytes before that part and the bytes that repeat.
    """

    STATUS_LINE = (b"HTTP/1.1 200 ", b"a" * 1024)
    HEADER = (_HEAD + b"X-Own: ", b"a" * 1024)
    HEADERS = (_HEAD, b"X-Own: 1\r\n" * 100)
    INFORMATIONAL = (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 10)
    CHUNKED_BODY = (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"a" * 65536 + b"\r\n",
    )
    UNFRAMED_BODY = (_HEAD + b"\r\n", b"a" * 65536)
    CHUNK_EXTENSION = (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"a" * 1024,
    )
    EVENT = (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"data: a\n" * 8192 + b"\r\n",
    )
    TRAILER = (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Own: 1\r\n" * 100,
    )
    BEYOND_LENGTH = (
        _HEAD + b"Content-Length: 2\r\n\r\n{}",
        b"a" * 1024,
    )


_ANSWER = _HEAD + b"Content-Length: 2\r\n\r\n{}"


class UnrequestedBytes(enum.Enum):
    """What a server sends without end after a complete response.

    The values are as those of `EndlessPart`.
    """

    EMPTY_RESPONSES = (
        _ANSWER,
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 500,
    )
    RESPONSES = (_ANSWER, _ANSWER * 400)
    RESPONSES_WITHOUT_BODY = (_ANSWER, b"HTTP/1.1 204 No\r\n\r\n" * 900)
    CHUNKED_RESPONSES = (
        _ANSWER,
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" * 300,
    )
    INFORMATIONAL = (_ANSWER, b"HTTP/1.1 102 Processing\r\n\r\n" * 700)
    PART_OF_A_HEAD = (_ANSWER, b"HTTP/1.1 200 OK\r\nX-Own: " + b"a" * 4096)
    NO_HTTP = (_ANSWER, bytes(range(256)) * 64)


class EndlessServer:
    """Writes to each connection without end.

    Attributes:
      sent_bytes: Bytes that the connections have accepted so far.
      open_connections: Number of connections that are still written to.
    """

    def __init__(
        self, part: EndlessPart | UnrequestedBytes, pause_s: float = 0.0
    ):
        """Creates a server.

        Args:
          part: What it sends.
          pause_s: Seconds between what it sends first and what it repeats.
        """
        self._start, self._repeated = part.value
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None
        self.sent_bytes = 0
        self.open_connections = 0

    async def __aenter__(self) -> "EndlessServer":
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    @property
    def address(self) -> str:
        """Host and port that the server listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(1)
        self.open_connections += 1
        try:
            writer.write(self._start)
            await asyncio.sleep(self._pause_s)
            while not writer.is_closing():
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
        except ConnectionError:
            pass
        finally:
            self.open_connections -= 1
            writer.close()

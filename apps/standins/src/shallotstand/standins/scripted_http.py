"""An HTTP server that sends scripted bytes, valid or not."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple


class ReceivedRequest(NamedTuple):
    """A request that the server received.

    Attributes:
      request_line: Its first line.
      headers: Its headers by lower-case name.
      body: Its content.
      connection_number: Number of its connection, counted from 1.
    """

    request_line: str
    headers: dict[str, str]
    body: bytes
    connection_number: int


class Reply(NamedTuple):
    """What the server does after it has received a request.

    Attributes:
      parts: Bytes to send, possibly without end; a float is a pause in
        seconds.
      close: Whether to close the connection afterwards.
      reset: Whether to reset the connection instead.
    """

    parts: Iterable[bytes | float]
    close: bool = False
    reset: bool = False


class ScriptedServer:
    """Replies to each request as a function determines.

    Attributes:
      received: Requests in the order of their receipt.
      closed_connections: Numbers of the connections that clients closed.
    """

    def __init__(self, reply: Callable[[ReceivedRequest], Reply]):
        self._reply = reply
        self._connection_count = 0
        self._server: asyncio.Server | None = None
        self.received: list[ReceivedRequest] = []
        self.closed_connections: list[int] = []

    async def start(self) -> str:
        """Listens on the loopback interface and returns the address."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connection_count += 1
        connection_number = self._connection_count
        try:
            while await self._answer_request(reader, writer, connection_number):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections.append(connection_number)
        finally:
            writer.close()

    async def _answer_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection_number: int,
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *header_lines = head.strip().split("\r\n")
        headers = dict(_parse_headers(header_lines))
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = ReceivedRequest(
            request_line, headers, body, connection_number
        )
        self.received.append(request)
        reply = self._reply(request)
        for part in reply.parts:
            if isinstance(part, float):
                await asyncio.sleep(part)
            else:
                writer.write(part)
                await writer.drain()
        if reply.reset:
            reset_connection(writer)
        return not (reply.close or reply.reset)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    # With a linger time of 0, closing sends one.
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def encode_response(status: str, body: bytes = b"", **headers: str) -> bytes:
    """Returns an encoded response; `_` in header names becomes `-`."""
    all_headers = {"Content-Length": str(len(body))} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    head = "".join(
        f"{name}: {value}\r\n" for name, value in all_headers.items()
    )
    return f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + body


def _parse_headers(lines: list[str]) -> Iterator[tuple[str, str]]:
    for line in lines:
        name, _, value = line.partition(":")
        yield name.lower(), value.strip()

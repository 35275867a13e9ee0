"""A stand-in of a server of the platform, on raw sockets.

It follows PROTOCOL.md, section "Engines": it checks the expected instance,
echoes the attempt's id, seals its answers and drops a request when its channel
closes. A case overrides `answer` to show a fault.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import socket
import struct
import time
from typing import Any, NamedTuple

_RESET = struct.pack("ii", 1, 0)


class Request(NamedTuple):
    """A request as it arrived.

    Attributes:
      method: Method.
      target: Path and query.
      headers: Headers by their names in lower case.
      body: Content.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-shallotstand-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Reads a head; returns its lines, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Returns headers by their names in lower case."""
    return {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }


async def read_content(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Reads a body that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        content = b""
        while size := int(await reader.readline(), 16):
            content += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return content
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a channel unless it is closed."""
    if writer.is_closing():
        return
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET
    )
    writer.transport.abort()


class EngineStandin:
    """A server that answers plain requests and streams texts.

    Attributes:
      name: Its id.
      service: Its service.
      version: Version of its weights.
      runs: Requests that it began to run: time, id, method.
    """

    def __init__(
        self,
        name: str,
        service: str,
        log: Any,
        work_s: float = 0.0375,
        event_count: int = 20,
        pause_s: float = 0.03,
    ):
        """Creates a server.

        Args:
          name: Its id.
          service: Its service.
          log: Called with one line of the record.
          work_s: Seconds of work on a plain request.
          event_count: Events of a text.
          pause_s: Seconds before each event.
        """
        self.name = name
        self.service = service
        self.log = log
        self.work_s = work_s
        self.event_count = event_count
        self.pause_s = pause_s
        self.version = 1
        self.slots = 8
        self.port = 0
        self.runs: list[tuple[float, str, str]] = []
        self._seals = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops to listen."""
        if self._server is not None:
            self._server.close()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the platform's list."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": (
                [{"name": "model", "version": self.version, "adapters": []}]
                if self.service == "model-engines"
                else []
            ),
            "seq": 1,
            "born": 1_700_000_000_000,
        }

    def record_run(self, request: Request) -> None:
        """Records that the server begins to run a request."""
        self.runs.append((time.monotonic(), request.id, request.method))
        self.log(f"{self.name} runs {request.method} {request.id}")

    def seal(self) -> str:
        """Returns a new receipt."""
        return f"{self.name}.{next(self._seals)}"

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request and answers it."""
        self.record_run(request)
        if "x-shallotstand-model" in request.headers:
            await self.stream(request, writer)
            return
        await asyncio.sleep(self.work_s)
        self.respond(request, writer, 200, request.body or b"done")

    async def stream(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the events of a text."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(
            f"HTTP/1.1 200 OK\r\n"
            f"X-Shallotstand-Attempt-Id: {request.id}\r\n"
            f"X-Shallotstand-Server-Seal: {self.seal()}\r\n"
            f"X-Shallotstand-Weight-Versions: {self.version}\r\n"
            f"Content-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {request.id}/{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def respond(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes = b"",
        extra: str = "",
    ) -> None:
        """Sends a complete answer."""
        writer.write(
            f"HTTP/1.1 {status} Answer\r\n"
            f"X-Shallotstand-Attempt-Id: {request.id}\r\n"
            f"X-Shallotstand-Server-Seal: {self.seal()}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (lines := await read_head(reader)) is not None:
                method, target, _ = lines[0].split(" ")
                headers = parse_headers(lines[1:])
                body = await read_content(reader, headers)
                request = Request(method, target, headers, body)
                await self._take(request, reader, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        writer.close()

    async def _take(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers a request, and drops it when its channel closes."""
        expected = request.headers.get("x-shallotstand-expect-instance")
        if expected not in (None, self.name):
            self.respond(request, writer, 421)
            return
        if request.target == "/shallotstand/report":
            report = {**self.entry(), "busy": False, "seq": 0}
            self.respond(request, writer, 200, json.dumps(report).encode())
            return
        work = asyncio.ensure_future(self.answer(request, writer))
        closed = asyncio.ensure_future(_wait_closed(reader))
        await asyncio.wait((work, closed), return_when="FIRST_COMPLETED")
        closed.cancel()
        if not work.done():
            work.cancel()
            self.log(f"{self.name} drops {request.method} {request.id}")


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    # Reading would take bytes of a following request.
    while not (reader.at_eof() or reader.exception()):  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def item(number: int, prefix: str, has_scorer: bool = True) -> dict[str, Any]:
    """Returns an item of a batch submission."""
    fields: dict[str, Any] = {
        "id": f"{prefix}-item-{number}",
        "path": f"/{prefix}/1/{number}",
        "headers": {
            "X-Shallotstand-Model": "model",
            "X-Shallotstand-Token-Count": "20,20",
        },
        "body": base64.b64encode(f"prompt {number}".encode()).decode(),
        "token_count": 40,
        "group": f"{prefix}-group-{number // 4}",
    }
    if has_scorer:
        fields["scorer"] = {
            "id": f"{prefix}-score-{number}",
            "host": "site.example",
            "path": "/score/1",
            "body": base64.b64encode(b"score").decode(),
        }
    return fields

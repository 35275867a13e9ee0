"""A stand-in of an engine whose answers have no length."""

import asyncio
import contextlib
import socket
import struct
import time
from typing import Any

import orjson

# Closing a channel sends a reset.
_NO_LINGER = struct.pack("ii", 1, 0)
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class RawEngine:
    """An engine whose answers end with their channel.

    It breaks some of them off: it resets the channel in the middle.

    Attributes:
      name: Its id.
      service: Its service.
      runs: What it ran, and how much of its answer it sent.
    """

    def __init__(self, name: str, service: str, break_every: int):
        """Creates an engine.

        Args:
          name: Its id.
          service: Its service.
          break_every: One of so many answers breaks off; 0 if none does.
        """
        self.name = name
        self.service = service
        self.runs: list[dict[str, Any]] = []
        self.address = ""
        self.pause_s = 0.02
        self.event_count = 28
        self._break_every = break_every
        self._born_ms = int(time.time() * 1000)
        self._count = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Ends the engine."""
        self._server.close()

    def entry(self) -> dict[str, Any]:
        """Returns the engine's entry in the store."""
        models = [{"name": "model", "version": 1, "adapters": []}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "slots": 8,
            "state": "ready",
            "version": "1.0",
            "born": self._born_ms,
            "cold_remaining_ms": 0,
            "models": models if self.service == "drafters" else [],
            "seq": 1,
        }

    def item_text(self, item_id: str) -> str:
        """Returns the whole output of an item."""
        return "\n".join(
            f"{item_id} {number}" for number in range(1, self.event_count + 1)
        )

    def answer_to(self, attempt_id: str) -> bytes:
        """Returns the whole body of a plain answer."""
        return f"answer to {attempt_id}. ".encode() * 40

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the channel stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        target = head.split(" ", 2)[1]
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
        )
        await reader.readexactly(int(headers.get("content-length", 0)))
        if target == "/shallotstand/report":
            body = orjson.dumps({"born": self._born_ms, "state": "ready"})
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
            return True
        attempt_id = headers.get("x-shallotstand-attempt-id")
        if attempt_id is None:
            writer.write(_NOT_FOUND)
            return True
        self._count += 1
        breaks_off = bool(
            self._break_every and self._count % self._break_every == 0
        )
        run = {
            "at": time.monotonic(),
            "engine": self.name,
            "id": attempt_id,
            "path": target,
            "after": headers.get("last-event-id"),
            "breaks_off": breaks_off,
            "sent": 0,
        }
        self.runs.append(run)
        writer.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"X-Shallotstand-Attempt-Id: %b\r\n"
            b"X-Shallotstand-Server-Seal: seal-%b\r\n"
            b"X-Shallotstand-Weight-Versions: 1\r\n\r\n"
            % (attempt_id.encode(), attempt_id.encode())
        )
        if target.startswith("/rollouts/"):
            await self._stream(writer, run)
        else:
            await asyncio.sleep(self.pause_s)
            body = self.answer_to(attempt_id)
            writer.write(body[: len(body) // 2] if breaks_off else body)
            run["sent"] = len(body) // 2 if breaks_off else len(body)
        await writer.drain()
        if breaks_off:
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
            writer.transport.abort()
        return False

    async def _stream(
        self, writer: asyncio.StreamWriter, run: dict[str, Any]
    ) -> None:
        """Sends the events of an item, half of them if it breaks off."""
        last = self.event_count // (2 if run["breaks_off"] else 1)
        for number in range(int(run["after"] or 0) + 1, last + 1):
            await asyncio.sleep(self.pause_s)
            writer.write(
                f"id: {number}\ndata: {run['id']} {number}\n\n".encode()
            )
            await writer.drain()
            run["sent"] = number

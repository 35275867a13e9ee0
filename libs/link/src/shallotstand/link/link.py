"""A connection to another shallotstand process."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from shallotstand.core.codes import ResultCode
from shallotstand.core.connection_end import find_connection_error
from shallotstand.core.failure import Failure
from shallotstand.link.codec import (
    MAX_MESSAGE_BYTES,
    EncodedMessage,
    decode,
    encode,
)
from shallotstand.link.messages import Message

_LENGTH_BYTES = 4
# The highest bit of the length is set if the body is packed.
_PACKED_FLAG = 1 << 31
# A peer that leaves more than this unread is disconnected, so that it can't
# exhaust the memory of this process.
_MAX_UNSENT_BYTES = 16 * 1024 * 1024
_CLOSE_TIMEOUT_S = 2.0


class Link:
    """Sends and receives messages over a stream connection.

    Each message is preceded by its length as a four-byte little-endian number,
    whose highest bit is set if the message is packed. One task reads with
    `messages`; any task may call `send`, which never blocks.

    Attributes:
      peer_address: Host and port of the peer, for log lines.
      bytes_sent: Bytes passed to the kernel or queued for it.
      bytes_received: Bytes of complete messages received.
      failure: Why the link ended early; None if the peer closed it in order,
        after a whole message, or it is open.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer
        host, port = writer.get_extra_info("peername")[:2]
        self.peer_address = f"{host}:{port}"
        self.bytes_sent = 0
        self.bytes_received = 0
        self.failure: Failure | None = None

    @classmethod
    async def connect(
        cls, host: str, port: int, timeout_s: float = 3.0
    ) -> "Link | Failure":
        """Opens a connection to a listening process.

        Errors:
          LINK_LOST: The connection could not be established.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return cls(*await asyncio.open_connection(host, port))
        except (OSError, TimeoutError, RuntimeError) as error:
            # uvloop raises RuntimeError if it considers a descriptor in use.
            return Failure(ResultCode.LINK_LOST, f"{host}:{port}: {error}")

    @property
    def is_open(self) -> bool:
        """Whether messages can still be sent."""
        return not self._writer.is_closing()

    def send(self, message: Message) -> bool:
        """Queues a message.

        Returns:
          False if the link is closed and the message was not sent.
        """
        return self.send_encoded(encode(message))

    def send_encoded(self, encoded: EncodedMessage) -> bool:
        """Queues an encoded message, which may be shared by several peers."""
        if not self.is_open:
            return False
        length = len(encoded.body)
        header = length | (_PACKED_FLAG if encoded.packed else 0)
        self._writer.writelines(
            (header.to_bytes(_LENGTH_BYTES, "little"), encoded.body)
        )
        self.bytes_sent += _LENGTH_BYTES + length
        if self._writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.failure = Failure(
                ResultCode.PEER_SLOW, "The peer does not read its messages."
            )
            self._writer.transport.abort()
            return False
        return True

    async def messages(self) -> AsyncIterator[Message]:
        """Yields messages until the link ends.

        Sets `failure` unless the peer closes the link in order. A message that
        is invalid or breaks off is not yielded.
        """
        while True:
            try:
                message = await self._receive()
            except (asyncio.IncompleteReadError, OSError) as error:
                self._record_end(error)
                return
            if isinstance(message, Failure):
                self.abort(message.code, message.reason)
                return
            yield message

    async def _receive(self) -> Message | Failure:
        """Receives one message.

        Errors:
          FRAME_TOO_LARGE, BAD_FRAME: What arrives is no message.

        Raises:
          IncompleteReadError, OSError: The link has ended.
        """
        header = await self._reader.readexactly(_LENGTH_BYTES)
        header_value = int.from_bytes(header, "little")
        length = header_value & ~_PACKED_FLAG
        if length > MAX_MESSAGE_BYTES:
            return Failure(ResultCode.FRAME_TOO_LARGE, f"{length} bytes")
        body = await self._reader.readexactly(length)
        self.bytes_received += _LENGTH_BYTES + length
        return decode(EncodedMessage(body, bool(header_value & _PACKED_FLAG)))

    def _record_end(self, error: asyncio.IncompleteReadError | OSError) -> None:
        """Records why the link has ended, unless that is known."""
        reason = ""
        if isinstance(error, OSError):
            reason = str(error)
        elif reset := find_connection_error(self._writer.transport):
            reason = str(reset)
        elif error.partial:
            reason = "The link ended within a message."
        if reason and self.failure is None:
            self.failure = Failure(ResultCode.LINK_LOST, reason)

    def set_tcp_user_timeout(self, seconds: float) -> None:
        """Sets how long sent data may stay unacknowledged by the peer's kernel.

        After that the connection ends, and the kernel stops retransmitting
        unacknowledged data, such as an order that has expired. The timeout
        stays in force until it is set again.
        """
        raw_socket = self._writer.get_extra_info("socket")
        raw_socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(1, int(seconds * 1000)),
        )

    def abort(self, code: ResultCode, reason: str) -> None:
        """Ends the link immediately, without sending queued messages."""
        self.failure = Failure(code, reason)
        self._writer.transport.abort()

    async def close(self) -> None:
        """Sends queued messages and closes the connection."""
        self._writer.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await self._writer.wait_closed()

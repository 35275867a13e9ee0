"""An HTTP server whose answers end while its client does not read."""

import asyncio
import enum
import socket
import struct
import threading

_HEAD_END = b"\r\n\r\n"
# With a linger time of 0, closing sends a reset.
_NO_LINGER = struct.pack("ii", 1, 0)
# Time for the client to read what is sent before it is held up.
_PAUSE_S = 0.02
_TIMEOUT_S = 5.0


class HeldEnding(enum.Enum):
    """How the server ends a connection.

    CLOSE ends the server's side in order. RESET resets the connection.
    CLOSE_THEN_RESET does both, so that all bytes and the end have arrived when
    the reset does.
    """

    CLOSE = enum.auto()
    RESET = enum.auto()
    CLOSE_THEN_RESET = enum.auto()


class HeldServer:
    """Holds up its client's event loop while the end of an answer arrives.

    The loop then finds the last bytes and the end of the connection at once.
    The server runs in a thread of its own and answers each connection once.

    Attributes:
      address: Host and port that the server listens on.
      request_count: Number of requests whose heads have arrived.
    """

    def __init__(self, early: bytes, late: bytes, ending: HeldEnding):
        """Creates a server.

        Args:
          early: What it sends before the client is held up.
          late: What it sends while the client is held up.
          ending: How it ends the connection after that.
        """
        self._early = early
        self._late = late
        self._ending = ending
        self._loop: asyncio.AbstractEventLoop | None = None
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.request_count = 0
        self._connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._accept, daemon=True)

    async def __aenter__(self) -> "HeldServer":
        self._loop = asyncio.get_running_loop()
        self._thread.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        # Ends the wait of the thread, which closing would not.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        await asyncio.to_thread(self._thread.join, _TIMEOUT_S)
        for connection in self._connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(_TIMEOUT_S)
            self._connections.append(connection)
            if self._read_head(connection):
                self.request_count += 1
                self._answer(connection)

    def _read_head(self, connection: socket.socket) -> bool:
        """Reads up to the end of a request's head; False if there is none."""
        head = b""
        while _HEAD_END not in head:
            data = connection.recv(1 << 10)
            if not data:
                return False
            head += data
        return True

    def _answer(self, connection: socket.socket) -> None:
        connection.sendall(self._early)
        if self._early:
            threading.Event().wait(_PAUSE_S)
        is_held, is_sent = threading.Event(), threading.Event()

        def hold_up_client() -> None:
            is_held.set()
            is_sent.wait(_TIMEOUT_S)

        self._loop.call_soon_threadsafe(hold_up_client)
        is_held.wait(_TIMEOUT_S)
        connection.sendall(self._late)
        self._end(connection)
        is_sent.set()

    def _end(self, connection: socket.socket) -> None:
        if self._ending is not HeldEnding.RESET:
            connection.shutdown(socket.SHUT_WR)
        if self._ending is not HeldEnding.CLOSE:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
            connection.close()

"""Non-blocking stream for log lines."""

import os

# Limit of the bytes buffered for a slow reader; a line that would exceed it is
# dropped.
MAX_PENDING_BYTES = 256 * 1024


class LineStream:
    """Writes whole lines to a file descriptor without blocking.

    Attributes:
      dropped_lines: Lines dropped because the reader was too slow.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Queues text that ends with a newline, and flushes the stream."""
        line = text.encode("utf-8", "replace")
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
        else:
            self._pending += line
        self.flush()
        return len(text)

    def close(self) -> None:
        """Flushes the stream; the descriptor stays open."""
        self.flush()

    def flush(self) -> None:
        """Writes as much as the reader accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except (BlockingIOError, BrokenPipeError):
                return
            self._pending = self._pending[written:]

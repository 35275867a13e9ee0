"""A stream for log lines that never blocks its writer."""

import os

# Bytes kept while the reader is behind; lines beyond that are left out.
MAX_PENDING_BYTES = 256 * 1024


class LineStream:
    """Writes whole lines to a file descriptor without waiting.

    Attributes:
      left_out: Lines that were dropped since the reader was behind.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self.left_out = 0

    def write(self, text: str) -> int:
        """Writes a text that ends with a line's end."""
        line = text.encode("utf-8", "replace")
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.left_out += 1
        else:
            self._pending += line
        self.flush()
        return len(text)

    def close(self) -> None:
        """Writes what the reader takes now; the descriptor stays open."""
        self.flush()

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        while self._pending:
            try:
                count = os.write(self._descriptor, self._pending)
            except (BlockingIOError, BrokenPipeError):
                return
            self._pending = self._pending[count:]

"""Structured logging through absl.logging, one JSON object per line."""

import collections
import json
import logging as std_logging
import sys
import time
from collections.abc import Callable
from typing import Any, Protocol

from absl import flags, logging

# Rate limit of each log message; lines over it are counted and dropped.
LINES_PER_S = 100.0
BURST_LINES = 400.0


class TextStream(Protocol):
    """Destination of log lines."""

    def write(self, text: str) -> int:
        """Writes text."""
        ...

    def flush(self) -> None:
        """Flushes buffered text."""
        ...


class JsonFormatter(std_logging.Formatter):
    """Formats a record as one JSON object.

    The item `fields` of the `extra` argument is merged into the object.
    """

    def __init__(self, program: str, process_id: str):
        super().__init__()
        self._program = program
        self._process_id = process_id

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the record as a line of JSON."""
        record_json: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "program": self._program,
            "process": self._process_id,
            "message": record.getMessage(),
        }
        record_json.update(getattr(record, "fields", {}))
        if record.exc_info:
            record_json["traceback"] = self.formatException(record.exc_info)
        return json.dumps(record_json, default=str)


def configure(
    program: str,
    process_id: str,
    level: str = "info",
    stream: TextStream | None = None,
) -> None:
    """Configures the process to log to a stream as JSON.

    Args:
      program: Name of the program, such as `shallotstand-entry`.
      process_id: Identifier of the process, written in each line.
      level: One of debug, info, warning, error.
      stream: Where the lines go; standard error if None.
    """
    # absl warns about lines logged before its own flags are parsed; these
    # programs do not use absl's flags.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(program, process_id))
    handler.python_handler.stream = stream or sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # The handler copies lines of this level and above to standard error.
    logging.set_stderrthreshold("fatal")
    # These libraries log each connection at info; only warnings are useful.
    for name in ("sanic.root", "sanic.error", "sanic.access", "aiohttp"):
        std_logging.getLogger(name).setLevel(std_logging.WARNING)


class LogRateLimiter:
    """Limits the rate of each log message with a token bucket.

    Attributes:
      dropped_by_message: Lines dropped since the message was last logged.
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._refill_per_s = per_s
        self._burst = burst
        self._allowance_by_message: dict[str, float] = {}
        self._refilled_at_by_message: dict[str, float] = {}
        self.dropped_by_message: collections.Counter[str] = (
            collections.Counter()
        )

    def allow(self, message: str, now: float) -> bool:
        """Returns whether to log a line; if not, counts it as dropped."""
        refilled_at = self._refilled_at_by_message.get(message, now)
        self._refilled_at_by_message[message] = now
        allowance = min(
            self._burst,
            self._allowance_by_message.get(message, self._burst)
            + (now - refilled_at) * self._refill_per_s,
        )
        if allowance < 1:
            self._allowance_by_message[message] = allowance
            self.dropped_by_message[message] += 1
            return False
        self._allowance_by_message[message] = allowance - 1
        return True


_rate_limiter = LogRateLimiter()
_listeners: list[Callable[[str, dict[str, object]], None]] = []


def add_event_listener(
    listener: Callable[[str, dict[str, object]], None],
) -> None:
    """Registers a function to call with each event's message and fields."""
    _listeners.append(listener)


def event(level: int, message: str, **fields: object) -> None:
    """Logs a message with named fields, within the message's rate limit.

    Args:
      level: A level of absl.logging, such as `logging.INFO`.
      message: A constant sentence; variable data goes into the fields.
      **fields: Values for the JSON object; never a key or prompt text.
    """
    for listener in _listeners:
        listener(message, fields)
    if not _rate_limiter.allow(message, time.monotonic()):
        return
    dropped = _rate_limiter.dropped_by_message.pop(message, 0)
    if dropped:
        fields["left_out"] = dropped
    logging.get_absl_logger().log(
        logging.converter.absl_to_standard(level),
        message,
        extra={"fields": fields},
    )

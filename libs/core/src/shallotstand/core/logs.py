"""Log lines as JSON, one object a line, through absl.logging."""

import json
import logging as std_logging
import sys
from typing import Any, TextIO

from absl import flags, logging


class JsonFormatter(std_logging.Formatter):
    """Formats a record as one JSON object.

    Fields of the `extra` argument named `fields` are merged into the object.
    """

    def __init__(self, program: str, process_id: str):
        super().__init__()
        self._program = program
        self._process_id = process_id

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the line for a record."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "program": self._program,
            "process": self._process_id,
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(
    program: str,
    process_id: str,
    level: str = "info",
    stream: TextIO | None = None,
) -> None:
    """Sends all log lines of the process to a stream as JSON.

    Args:
      program: Name of the program, such as `shallotstand-entry`.
      process_id: Identifier of the process from its settings.
      level: One of debug, info, warning, error.
      stream: Where the lines go; standard error if None.
    """
    # absl warns about lines logged before its own flags are parsed; the
    # command line is parsed by cappa instead.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(program, process_id))
    handler.python_handler.stream = stream or sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # The handler would write lines from this level on to standard error, too.
    logging.set_stderrthreshold("fatal")
    # Libraries log each connection at info; only their warnings are of use.
    for name in ("sanic.root", "sanic.error", "sanic.access", "aiohttp"):
        std_logging.getLogger(name).setLevel(std_logging.WARNING)


def event(level: int, message: str, **fields: object) -> None:
    """Logs a message with named fields.

    Args:
      level: A level of absl.logging, such as `logging.INFO`.
      message: A constant sentence; what varies goes into the fields.
      **fields: Values for the JSON object; never a key or prompt text.
    """
    logging.get_absl_logger().log(
        logging.converter.absl_to_standard(level),
        message,
        extra={"fields": fields},
    )

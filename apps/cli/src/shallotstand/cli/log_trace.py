"""Finds the lines of one request, batch or item in the logs of processes."""

import collections
import itertools
import json
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure

# Fields that stand in every line, shown in columns of their own.
_COMMON_FIELDS = frozenset({"time", "level", "program", "process", "message"})


class LogLine(NamedTuple):
    """A line of a structured log.

    Attributes:
      time: Unix time in seconds.
      process: Process that wrote it.
      message: What happened.
      fields: Everything else.
    """

    time: float
    process: str
    message: str
    fields: dict[str, Any]


def read_logs(paths: Iterable[str]) -> list[LogLine] | Failure:
    """Reads the lines of all files, in the order of time.

    A line may have other text before its JSON, such as a collector's prefix;
    lines without JSON are skipped.

    Errors:
      BAD_REQUEST: A file can't be read.
    """
    try:
        texts = [pathlib.Path(path).read_text("utf-8") for path in paths]
    except (OSError, UnicodeDecodeError) as error:
        return Failure(ResultCode.BAD_REQUEST, str(error))
    lines = itertools.chain.from_iterable(map(str.splitlines, texts))
    return sorted(_parse(lines), key=lambda line: line.time)


def trace(lines: list[LogLine], wanted: str) -> list[LogLine] | Failure:
    """Returns the lines about one identifier.

    An item's lines come with those of its batch that name no other item.

    Errors:
      OBJECT_NOT_FOUND: No line names the identifier.
    """
    own = [line for line in lines if wanted in line.fields.values()]
    if not own:
        return Failure(ResultCode.OBJECT_NOT_FOUND, f"No line names {wanted}.")
    batches = {
        line.fields["batch"]
        for line in own
        if line.fields.get("item") == wanted
    }
    about_batch = [
        line
        for line in lines
        if line.fields.get("batch") in batches and "item" not in line.fields
    ]
    found = {id(line): line for line in own + about_batch}
    return sorted(found.values(), key=lambda line: line.time)


def summarise(lines: Iterable[LogLine]) -> list[dict[str, Any]]:
    """Counts the lines by message, code and reason, the most common first."""
    counts = collections.Counter(
        (
            line.message,
            line.fields.get("code", ""),
            str(line.fields.get("reason", "")),
        )
        for line in lines
    )
    return [
        {"lines": count, "message": message, "code": code, "reason": reason}
        for (message, code, reason), count in counts.most_common()
    ]


def render_trace(lines: Iterable[LogLine]) -> str:
    """Returns the lines as text, with times from the first one on."""
    rows = []
    first = None
    for line in lines:
        first = line.time if first is None else first
        fields = " ".join(
            f"{name}={value}" for name, value in line.fields.items()
        )
        rows.append(
            f"{line.time - first:9.3f} {line.process:<28} "
            f"{line.message}: {fields}"
        )
    return "".join(f"{row}\n" for row in rows)


def _parse(lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "message" not in fields:
            continue
        yield LogLine(
            float(fields.get("time", 0.0)),
            str(fields.get("process", "")),
            str(fields["message"]),
            {
                name: value
                for name, value in fields.items()
                if name not in _COMMON_FIELDS
            },
        )

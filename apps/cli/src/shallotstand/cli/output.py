"""Tables and errors for terminals, JSON for scripts."""

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NoReturn

import orjson
from shallotstand.cli.exits import exit_of
from shallotstand.core.failure import Failure

_NONE = "-"


def progress(message: str) -> None:
    """Tells what takes time, beside the answer on standard output."""
    print(message, file=sys.stderr, flush=True)


def finish(
    result: Any, as_json: bool, render: Callable[[Any], str]
) -> NoReturn:
    """Prints a result and ends the program with its exit code."""
    if isinstance(result, Failure):
        _print_failure(result, as_json)
    elif as_json:
        print(orjson.dumps(result).decode())
    else:
        print(render(result), end="")
    sys.exit(exit_of(result))


def render_rows(rows: Sequence[Mapping[str, Any]]) -> str:
    """Returns a table with a column for each key."""
    if not rows:
        return "(none)\n"
    header = list(rows[0])
    cells = [header, *([_cell(row[name]) for name in header] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        + "\n"
        for line in cells
    )


def render_fields(fields: Mapping[str, Any]) -> str:
    """Returns one line for each field."""
    width = max(map(len, fields), default=0)
    return "".join(
        f"{name.ljust(width)}  {_cell(value)}\n"
        for name, value in fields.items()
    )


def render_status(status: Mapping[str, Any]) -> str:
    """Returns the tables of processes, endpoints and scopes."""
    head = {
        name: status[name] for name in ("revision", "digest", "is_confirmed")
    }
    processes = [
        {**row, "digest": row["digest"][:12]} for row in status["processes"]
    ]
    parts = (
        render_fields(head),
        render_rows(processes),
        render_rows(status["endpoints"]),
        render_rows(status["scopes"]),
    )
    return "\n".join(parts)


def _cell(value: Any) -> str:
    if value is None or value == "":
        return _NONE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(_cell, value)) or _NONE
    if isinstance(value, dict):
        pairs = (f"{name} {_cell(item)}" for name, item in value.items())
        return ", ".join(pairs) or _NONE
    return str(value)


def _print_failure(failure: Failure, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps(failure.to_json()).decode())
    print(f"error {int(failure.code)}: {failure.reason}", file=sys.stderr)
    for detail in failure.details:
        print(
            f"  error {int(detail.code)}: {detail.path} {detail.reason}",
            file=sys.stderr,
        )

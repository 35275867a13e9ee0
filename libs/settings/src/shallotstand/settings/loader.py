"""Loads and validates a program's TOML settings."""

import pathlib
import sys
import tomllib
from typing import Any

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail, Failure
from shallotstand.settings.options import REQUIRED, Table

EXIT_INVALID_SETTINGS = 2


def load_settings(path: str, table: Table) -> dict[str, Any] | Failure:
    """Loads settings from a file.

    Args:
      path: Path of the TOML file.
      table: Options of the program.

    Returns:
      A value for every option of the table.

    Errors:
      SETTINGS_INVALID: The file is invalid; there is one detail per error.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        return _settings_failure(
            path,
            (ErrorDetail(ResultCode.SETTINGS_INVALID, path, str(error)),),
        )
    checked = table.check(document, f"{path}: ", ResultCode.SETTINGS_INVALID)
    if checked.errors:
        return _settings_failure(path, checked.errors)
    return checked.value


def _settings_failure(path: str, details: tuple[ErrorDetail, ...]) -> Failure:
    return Failure(
        ResultCode.SETTINGS_INVALID,
        f"{path} has {len(details)} error(s).",
        details,
    )


def render_reference(table: Table, prefix: str = "") -> str:
    """Returns Markdown table rows that describe all options of a table."""
    rows = []
    for name, option in table.options_by_name.items():
        item = getattr(option, "item", option)
        default = _format_default(option.default)
        rows.append(
            f"| `{prefix}{name}` | {_escape_table_cell(option.describe())} "
            f"| {default} | {option.help} |\n"
        )
        if isinstance(item, Table):
            rows.append(render_reference(item, f"{prefix}{name}."))
    return "".join(rows)


def _escape_table_cell(text: str) -> str:
    """Escapes the vertical bars, which separate cells of a Markdown table."""
    return text.replace("|", "\\|")


def _format_default(default: Any) -> str:
    if default is REQUIRED:
        return "required"
    if default in (None, "", ()):
        return "none"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    return f"`{default}`"


def load_settings_or_exit(path: str, table: Table) -> dict[str, Any]:
    """Loads a program's settings; exits the program if they are invalid.

    All errors are printed to standard error, one per line.
    """
    settings = load_settings(path, table)
    if not isinstance(settings, Failure):
        return settings
    for detail in settings.details:
        print(
            f"error {int(detail.code)}: {detail.path} {detail.reason}",
            file=sys.stderr,
        )
    sys.exit(EXIT_INVALID_SETTINGS)

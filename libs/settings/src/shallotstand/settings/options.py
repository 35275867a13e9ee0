"""Validated options of TOML tables.

Each option validates one value and describes what it accepts. The reference
pages in docs/ are rendered from the same objects, so both always agree.
"""

import ipaddress
import math
import os
import re
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?")
_MAX_PORT = 65535


class Required(NamedTuple):
    """Type of REQUIRED, the default of options that must be set."""


REQUIRED = Required()


class CheckResult(NamedTuple):
    """Result of validating a value.

    Attributes:
      value: The value to use; undefined if there are errors.
      errors: All errors found in the value.
    """

    value: Any
    errors: tuple[ErrorDetail, ...] = ()


class Option(Protocol):
    """An option of a table.

    Attributes:
      default: Value if the table does not set the option, or REQUIRED.
      help: One sentence for the reference pages.
    """

    default: Any
    help: str

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Validates a value.

        Args:
          value: The value from the TOML document.
          path: Location of the value, for error messages.
          code: Result code of the errors.
        """
        ...

    def describe(self) -> str:
        """Returns what the option accepts, for the reference pages."""
        ...


def _error(path: str, code: ResultCode, reason: str) -> CheckResult:
    return CheckResult(None, (ErrorDetail(code, path, reason),))


class Text:
    """A string; if a pattern is given, the whole string must match it."""

    def __init__(
        self, help: str, default: Any = REQUIRED, pattern: str | None = None
    ):
        self.help = help
        self.default = default
        self._pattern = re.compile(pattern) if pattern else None

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts strings that match the pattern."""
        if not isinstance(value, str):
            return _error(path, code, "must be a string")
        if self._pattern and not self._pattern.fullmatch(value):
            return _error(path, code, f"must match {self._pattern.pattern}")
        return CheckResult(value)

    def describe(self) -> str:
        """Describes the type and the pattern."""
        if self._pattern:
            return f"string matching `{self._pattern.pattern}`"
        return "string"


class Name(Text):
    """The name of an object or process."""

    def __init__(self, help: str, default: Any = REQUIRED):
        super().__init__(help, default, _NAME_PATTERN.pattern)

    def describe(self) -> str:
        """Describes the pattern in words."""
        return (
            "name: 1 to 64 characters of a-z, 0-9, `.`, `_`, `-`; starts and "
            "ends with a letter or digit"
        )


class Number:
    """A number with bounds and a unit."""

    def __init__(
        self,
        help: str,
        default: Any = REQUIRED,
        minimum: float = 0,
        maximum: float = math.inf,
        unit: str = "",
        integer_only: bool = False,
    ):
        self.help = help
        self.default = default
        self._minimum = minimum
        self._maximum = maximum
        self._unit = unit
        self._types = (int,) if integer_only else (int, float)

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts finite numbers within the bounds."""
        if isinstance(value, bool) or not isinstance(value, self._types):
            return _error(path, code, f"is invalid; expected {self.describe()}")
        # This comparison also rejects NaN.
        if not self._minimum <= value <= self._maximum or math.isinf(value):
            return _error(path, code, f"is invalid; expected {self.describe()}")
        return CheckResult(value)

    def describe(self) -> str:
        """Describes the type, unit and bounds."""
        kind = "number" if float in self._types else "integer"
        unit = f" ({self._unit})" if self._unit else ""
        if math.isinf(self._maximum):
            return f"{kind}{unit}, at least {self._minimum}"
        return f"{kind}{unit}, {self._minimum} to {self._maximum}"


class Integer(Number):
    """A whole number with bounds and a unit."""

    def __init__(
        self,
        help: str,
        default: Any = REQUIRED,
        minimum: int = 0,
        maximum: float = math.inf,
        unit: str = "",
    ):
        super().__init__(
            help, default, minimum, maximum, unit, integer_only=True
        )


class Flag:
    """A boolean."""

    def __init__(self, help: str, default: Any = False):
        self.help = help
        self.default = default

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts booleans."""
        if not isinstance(value, bool):
            return _error(path, code, "must be true or false")
        return CheckResult(value)

    def describe(self) -> str:
        """Describes the type."""
        return "true or false"


class Choice:
    """One of several strings."""

    def __init__(self, help: str, choices: tuple[str, ...], default: Any):
        self.help = help
        self.default = default
        self._choices = choices

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts the listed strings."""
        if value not in self._choices:
            return _error(path, code, f"is invalid; expected {self.describe()}")
        return CheckResult(value)

    def describe(self) -> str:
        """Lists the choices."""
        return "one of " + ", ".join(f"`{choice}`" for choice in self._choices)


class SocketAddress(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Address:
    """An IP address with a port, parsed into a `SocketAddress`.

    Host names are rejected.
    """

    def __init__(self, help: str, default: Any = REQUIRED):
        self.help = help
        self.default = default

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts `127.0.0.1:7000` and `[::1]:7000`."""
        host, _, port = str(value).rpartition(":")
        try:
            address = ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            return _error(path, code, f"is invalid; expected {self.describe()}")
        if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
            return _error(path, code, f"is invalid; expected {self.describe()}")
        return CheckResult(SocketAddress(str(address), int(port)))

    def describe(self) -> str:
        """Describes the format."""
        return "IP address and port, such as `127.0.0.1:7000`"


class FilePath:
    """The path of a file or directory that the process can read."""

    def __init__(self, help: str, default: Any = REQUIRED):
        self.help = help
        self.default = default

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts paths that exist and are readable."""
        if not isinstance(value, str):
            return _error(path, code, "must be a path")
        if not os.access(value, os.R_OK):
            return _error(path, code, f"{value} can't be read")
        return CheckResult(value)

    def describe(self) -> str:
        """Describes the type."""
        return "path of a readable file or directory"


class ListOf:
    """A list whose items are validated by one option."""

    def __init__(self, item: Option, help: str, default: Any = REQUIRED):
        self.help = help
        self.default = default
        self.item = item

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts lists; reports the errors of every item."""
        if not isinstance(value, list):
            return _error(path, code, "must be a list")
        results = [
            self.item.check(item, f"{path}[{index}]", code)
            for index, item in enumerate(value)
        ]
        errors = tuple(error for item in results for error in item.errors)
        return CheckResult(tuple(item.value for item in results), errors)

    def describe(self) -> str:
        """Describes the items."""
        return f"list of: {self.item.describe()}"


class Table:
    """A table with a fixed set of keys."""

    def __init__(
        self,
        options_by_name: Mapping[str, Option],
        help: str = "",
        default: Any = REQUIRED,
    ):
        self.help = help
        self.default = default
        self.options_by_name = dict(options_by_name)

    def check(self, value: Any, path: str, code: ResultCode) -> CheckResult:
        """Accepts tables; reports all unknown, missing and invalid keys.

        The value of the result is a dict with an item for each option.
        """
        if not isinstance(value, dict):
            return _error(path, code, "must be a table")
        prefix = f"{path}." if path and not path.endswith(": ") else path
        errors = [
            ErrorDetail(code, f"{prefix}{name}", "is not a known key")
            for name in value
            if name not in self.options_by_name
        ]
        values_by_name = {}
        for name, option in self.options_by_name.items():
            checked = _check_option(
                option, name, value, f"{prefix}{name}", code
            )
            values_by_name[name] = checked.value
            errors.extend(checked.errors)
        return CheckResult(values_by_name, tuple(errors))

    def describe(self) -> str:
        """Describes the type."""
        return "table"


def _check_option(
    option: Option,
    name: str,
    table: Mapping[str, Any],
    path: str,
    code: ResultCode,
) -> CheckResult:
    if name in table:
        return option.check(table[name], path, code)
    if option.default is REQUIRED:
        return _error(path, code, "is missing")
    return CheckResult(option.default)

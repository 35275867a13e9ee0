"""Reads configuration objects from TOML files, each checked by itself."""

import pathlib
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail
from shallotstand.objects.tables import KINDS_BY_NAME


class Record(NamedTuple):
    """An object as it stands in a file.

    Attributes:
      kind: Name of the kind.
      path: Where it stands, such as `accounts.toml: key[3]`.
      config: A value for each option; None where the value has an error.
    """

    kind: str
    path: str
    config: Mapping[str, Any]

    @property
    def name(self) -> str | None:
        """Name of the object; None if that is missing or wrong."""
        return self.config.get("name")

    def at(self, field: str) -> str:
        """Returns where a field stands, for error messages."""
        return f"{self.path}.{field}"


class Records(NamedTuple):
    """Objects of several files and the errors found so far."""

    records: tuple[Record, ...]
    errors: tuple[ErrorDetail, ...]

    def of_kind(self, kind: str) -> Iterator[Record]:
        """Yields the records of a kind in file order."""
        return (record for record in self.records if record.kind == kind)


def find_files(paths: Iterable[str]) -> list[pathlib.Path]:
    """Returns the files themselves and the TOML files of directories."""
    return [
        file
        for path in map(pathlib.Path, paths)
        for file in (sorted(path.glob("*.toml")) if path.is_dir() else [path])
    ]


def read_files(paths: Iterable[str]) -> Records:
    """Reads files and directories of TOML files.

    Args:
      paths: Files, or directories whose `*.toml` files are read by name.
    """
    return _join([_read_file(file) for file in find_files(paths)])


def _join(read: Iterable[Records]) -> Records:
    read = tuple(read)
    return Records(
        tuple(record for each in read for record in each.records),
        tuple(error for each in read for error in each.errors),
    )


class SetFile(NamedTuple):
    """A TOML file whose text was sent by an operator.

    Attributes:
      name: Name for error messages.
      text: Content.
    """

    name: str
    text: str


def read_texts(files: Iterable[SetFile]) -> Records:
    """Reads files whose text is at hand."""
    return _join([_read_text(file.name, file.text) for file in files])


def read_document(document: Mapping[str, Any], file: str) -> Records:
    """Checks the tables of one TOML document.

    Args:
      document: Content of the file.
      file: Name of the file, for error messages.
    """
    records: list[Record] = []
    errors: list[ErrorDetail] = []
    for kind_name, items in document.items():
        path = f"{file}: {kind_name}"
        problem = _check_kind(kind_name, items)
        if problem:
            errors.append(ErrorDetail(ResultCode.OBJECT_FIELD, path, problem))
            continue
        for index, item in enumerate(items):
            record, found = _read_item(kind_name, item, f"{path}[{index}]")
            errors.extend(found)
            records.append(record)
    return Records(tuple(records), tuple(errors))


def _read_file(file: pathlib.Path) -> Records:
    try:
        text = file.read_text("utf-8")
    except (OSError, ValueError) as error:
        return _unreadable(str(file), error)
    return _read_text(file.name, text)


def _read_text(name: str, text: str) -> Records:
    try:
        document = tomllib.loads(text)
    except ValueError as error:
        return _unreadable(name, error)
    return read_document(document, name)


def _unreadable(name: str, error: Exception) -> Records:
    detail = ErrorDetail(ResultCode.OBJECT_SYNTAX, name, str(error))
    return Records((), (detail,))


def _check_kind(kind_name: str, items: Any) -> str:
    if kind_name not in KINDS_BY_NAME:
        return "is not a kind of object"
    if not isinstance(items, list):
        return f"must be written as [[{kind_name}]]"
    return ""


def _read_item(
    kind_name: str, item: Any, path: str
) -> tuple[Record, tuple[ErrorDetail, ...]]:
    table = KINDS_BY_NAME[kind_name].table
    checked = table.check(item, path, ResultCode.OBJECT_FIELD)
    return Record(kind_name, path, checked.value or {}), checked.errors

"""What the commands do; knows nothing of command lines."""

import pathlib
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

from shallotstand.cli.client import Server, call
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail, Failure
from shallotstand.objects.loader import make_catalog
from shallotstand.objects.records import SetFile, find_files, read_texts

Progress = Callable[[str], None]


def read_set(paths: Sequence[str]) -> list[SetFile] | Failure:
    """Reads TOML files and the TOML files of directories.

    Errors:
      SETTINGS_INVALID: With a detail for each file that can't be read.
    """
    files, errors = [], []
    for path in find_files(paths):
        try:
            files.append(SetFile(path.name, path.read_text("utf-8")))
        except (OSError, ValueError) as error:
            detail = ErrorDetail(
                ResultCode.SETTINGS_INVALID, str(path), str(error)
            )
            errors.append(detail)
    if errors or not files:
        return Failure(
            ResultCode.SETTINGS_INVALID,
            "Files can't be read." if errors else "There are no TOML files.",
            tuple(errors),
        )
    return files


def check(paths: Sequence[str]) -> dict[str, Any] | Failure:
    """Checks a set without a server.

    Errors:
      SETTINGS_INVALID: A file can't be read.
      SET_INVALID: With a detail for every error of the set.
    """
    files = read_set(paths)
    if isinstance(files, Failure):
        return files
    catalog = make_catalog(read_texts(files))
    if isinstance(catalog, Failure):
        return catalog
    return {
        "objects": {
            field.removesuffix("_by_name"): len(objects)
            for field, objects in catalog._asdict().items()
            if field != "revision"
        }
    }


def diff(server: Server, paths: Sequence[str]) -> dict[str, Any] | Failure:
    """Compares a set with the published one."""
    files = read_set(paths)
    if isinstance(files, Failure):
        return files
    return call(server, "POST", "diff", _body(files))


def publish(
    server: Server, paths: Sequence[str], base: int, progress: Progress
) -> dict[str, Any] | Failure:
    """Publishes a set that was made on a base revision."""
    files = read_set(paths)
    if isinstance(files, Failure):
        return files
    progress(f"Publishing {len(files)} file(s) on revision {base} ...")
    progress("Waiting up to 12 s for a majority of the entries ...")
    return call(server, "POST", "publish", {**_body(files), "base": base})


def status(server: Server) -> dict[str, Any] | Failure:
    """Reads the state of processes, endpoints and scopes."""
    return call(server, "GET", "status")


def grant_key(
    server: Server, name: str, account: str, progress: Progress
) -> dict[str, Any] | Failure:
    """Grants a key; the answer holds the only copy of its secret."""
    progress("Waiting up to 12 s for a majority of the entries ...")
    fields = {"name": name, "account": account}
    return call(server, "POST", "keys", fields)


def withdraw_key(server: Server, name: str) -> dict[str, Any] | Failure:
    """Withdraws a key."""
    return call(server, "DELETE", f"keys/{quote(name, safe='')}")


def list_keys(server: Server) -> list[dict[str, Any]] | Failure:
    """Lists the keys of the configuration in force."""
    return call(server, "GET", "keys")


def drain(server: Server, name: str) -> dict[str, Any] | Failure:
    """Drains an endpoint, or all endpoints of an instance."""
    return call(server, "POST", f"drain/{quote(name, safe='')}")


def list_quarantine(server: Server) -> list[dict[str, Any]] | Failure:
    """Lists quarantined requests."""
    return call(server, "GET", "quarantine")


def release(server: Server, fingerprint: str) -> dict[str, Any] | Failure:
    """Lets a quarantined request run again."""
    path = f"quarantine/{quote(fingerprint, safe='')}"
    return call(server, "DELETE", path)


def read_usage(
    server: Server, account: str, window: int
) -> dict[str, Any] | Failure:
    """Reads the usage report of a client account and window."""
    return call(server, "GET", f"usage/{quote(account, safe='')}/{window}")


def read_burn(server: Server) -> list[dict[str, Any]] | Failure:
    """Reads the burn of all objectives."""
    return call(server, "GET", "burn")


def write_page(path: str, content: str) -> Failure | None:
    """Writes a page.

    Errors:
      SETTINGS_INVALID: The file can't be written.
    """
    try:
        pathlib.Path(path).write_text(content, "utf-8")
    except OSError as error:
        return Failure(ResultCode.SETTINGS_INVALID, str(error))
    return None


def _body(files: Sequence[SetFile]) -> dict[str, Any]:
    return {"files": [file._asdict() for file in files]}

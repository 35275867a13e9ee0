"""Decisions stay apart from the encoding of messages."""

import subprocess
import sys

import pytest

_PROGRAM = """
import importlib, pkgutil, sys
package = importlib.import_module(sys.argv[1])
for module in pkgutil.iter_modules(package.__path__):
    importlib.import_module(f"{package.__name__}.{module.name}")
print(*{"aiohttp", "sanic", "capnp"}.intersection(sys.modules))
"""


@pytest.mark.parametrize("library", ["serving", "rollout", "control"])
def test_decisions_import_neither_http_nor_capnp(library):
    # Another front end could not use the decisions without these libraries.
    result = subprocess.run(
        [sys.executable, "-c", _PROGRAM, f"shallotstand.{library}"],
        capture_output=True,
        check=True,
        text=True,
    )
    assert result.stdout.split() == []

"""Guards against exit codes that differ from their page."""

import pathlib

from shallotstand.cli.exits import INFO_BY_EXIT, Exit, exit_of, render_table
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "exit-codes.md"


def test_page_holds_the_table():
    assert PAGE.read_text("utf-8").endswith("\n" + render_table())
    assert set(INFO_BY_EXIT) == set(Exit)


def test_only_ok_ends_with_zero():
    # Guards against a script that takes a failure for a success.
    zero = [code for code in ResultCode if exit_of(Failure(code, "")) == 0]
    assert zero == [ResultCode.OK]

"""Guards against tracebacks and unnumbered errors of the command."""

import json
import socket

import pytest
from shallotstand.cli import main
from shallotstand.cli.exits import Exit


def run(monkeypatch, capsys, *arguments):
    monkeypatch.setattr("sys.argv", ["shallotstand", *map(str, arguments)])
    with pytest.raises(SystemExit) as ended:
        main.main()
    return ended.value.code, *capsys.readouterr()


def test_check_reports_every_error_without_a_server(
    monkeypatch, capsys, tmp_path
):
    (tmp_path / "a.toml").write_text('[[client_account]]\nweight = "x"\n')
    (tmp_path / "b.toml").write_text("[[")
    code, out, err = run(monkeypatch, capsys, "check", tmp_path, "--json")
    assert code == Exit.SET_INVALID
    assert len(json.loads(out)["error"]["details"]) == 3
    for expected in ("error 3015", "error 3002: a.toml", "error 3001: b.toml"):
        assert expected in err


def test_missing_files_are_a_numbered_error(monkeypatch, capsys, tmp_path):
    key = tmp_path / "key"
    for arguments in (
        ("check", tmp_path / "none.toml"),
        ("check", tmp_path),
        ("status",),
        ("status", "--server", "http://127.0.0.1:1", "--key-file", key),
    ):
        code, _, err = run(monkeypatch, capsys, *arguments)
        assert (code, err.startswith("error 7001: ")) == (Exit.USAGE, True)


def test_unreachable_or_odd_server_is_a_numbered_error(
    monkeypatch, capsys, tmp_path
):
    key = tmp_path / "key"
    key.write_text("operator-1")
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        # Nothing listens at this port while it is bound.
        nobody = f"http://127.0.0.1:{taken.getsockname()[1]}"
        for url in (nobody, "no address"):
            code, out, err = run(
                monkeypatch,
                capsys,
                *("status", "--server", url, "--key-file", key),
            )
            assert (code, out) == (Exit.UNREACHABLE, "")
            assert err.startswith("error 7006: ")


def test_help_of_each_command_has_an_example(monkeypatch, capsys):
    for command in (
        *(("check",), ("diff",), ("publish",), ("status",), ("drain",)),
        *(("keys", "grant"), ("keys", "withdraw"), ("keys", "list")),
        *(("quarantine", "list"), ("quarantine", "release"), ("usage",)),
        ("report", "burn"),
    ):
        code, out, _ = run(monkeypatch, capsys, *command, "--help")
        assert code == 0
        assert f"Example: shallotstand {' '.join(command)}" in out

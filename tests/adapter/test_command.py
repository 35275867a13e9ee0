"""Settings are checked before a program starts."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize("program", ["gateway", "keeper"])
@pytest.mark.parametrize(
    ("text", "code", "said"),
    [
        ("metrics_port = 9464\n", 0, "The settings are valid."),
        ("metrics_port = 70000\n", 2, "error 7001"),
        ("log_level = 'loud'\nstrange = 1\n", 2, "strange"),
    ],
)
def test_settings_are_checked(tmp_path, program, text, code, said):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            f"shallotstand.{program}.cli",
            "--check",
            "--settings",
            str(path),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == code
    assert said in result.stdout


def test_program_without_the_platforms_file_ends_with_a_numbered_error():
    result = subprocess.run(
        [sys.executable, "-m", "shallotstand.keeper.main"],
        capture_output=True,
        text=True,
        check=False,
        env={"PATH": "/usr/bin"},
    )
    assert result.returncode == 2
    assert "error 7001" in result.stderr

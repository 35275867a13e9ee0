"""Command line of the keeper.

The platform starts `shallotstand.keeper.main` itself, which does without this
module: its libraries take longer to load than the rest of the program.
"""

import os
from typing import Annotated

import cappa
from shallotstand.adapter.settings import SETTINGS_VARIABLE, ProcessSettings
from shallotstand.core.failure import Failure
from shallotstand.keeper.main import main as run


@cappa.command(name="shallotstand-keeper")
def start(
    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the TOML settings.")
    ] = "",
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and end.")
    ] = False,
) -> None:
    """Carries the duties of one process at a time."""
    if check:
        checked = ProcessSettings.from_config(settings)
        if isinstance(checked, Failure):
            for detail in checked.details:
                print(
                    f"error {int(detail.code)}: {detail.path} {detail.reason}"
                )
            raise cappa.Exit(code=2)
        print("The settings are valid.")
        return
    os.environ[SETTINGS_VARIABLE] = settings
    run()


def main() -> None:
    """Runs the command line."""
    cappa.invoke(start)


if __name__ == "__main__":
    main()

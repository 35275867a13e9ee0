"""Command line of the keeper."""

from shallotstand.adapter.command import invoke
from shallotstand.keeper.main import main as run


def main() -> None:
    """Runs the keeper command."""
    invoke("shallotstand-keeper", run)


if __name__ == "__main__":
    main()

"""Command line of the gateway."""

from shallotstand.adapter.command import invoke
from shallotstand.gateway.main import main as run


def main() -> None:
    """Runs the gateway command."""
    invoke("shallotstand-gateway", run)


if __name__ == "__main__":
    main()

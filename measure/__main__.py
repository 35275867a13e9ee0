"""Prints every figure of the decisions as one JSON line."""

import itertools
import sys
from typing import Annotated

import cappa

from measure import fairness, hedging, routing


@cappa.command(name="measure")
def start(
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the load.")] = 1,
) -> None:
    """Measures decisions against their baselines on seeded load."""
    for figure in itertools.chain(
        fairness.figures(seed), routing.figures(seed), hedging.figures(seed)
    ):
        sys.stdout.buffer.write(figure.to_json() + b"\n")
        sys.stdout.flush()


if __name__ == "__main__":
    cappa.invoke(start)

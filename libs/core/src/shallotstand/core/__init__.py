"""Result codes, clocks, identifiers, logging and metrics."""

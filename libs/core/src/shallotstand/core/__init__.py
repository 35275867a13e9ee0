"""Result codes, clocks, identifiers and logging."""

"""Load generator with bounded runs."""

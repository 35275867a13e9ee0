"""Metrics, their HTTP endpoint, and the error-budget burn report."""

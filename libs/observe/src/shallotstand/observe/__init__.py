"""Metrics, their HTTP endpoint, and the service-level burn report."""

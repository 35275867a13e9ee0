"""Measurements that the documentation quotes; see docs/measurements.md."""

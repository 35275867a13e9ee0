"""Duties that one process carries at a time: lease, reports, orders."""

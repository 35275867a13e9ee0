"""Duties that only the process holding a lease performs."""

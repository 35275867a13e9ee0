"""Fault soak: the real programs under random faults, checked all the while."""

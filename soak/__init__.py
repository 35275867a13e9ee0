"""Soak test: runs the real programs under random faults and checks them."""

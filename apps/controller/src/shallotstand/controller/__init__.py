"""Leases, orders, usage reports and the administration API."""

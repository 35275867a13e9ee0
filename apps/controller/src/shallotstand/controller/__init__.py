"""Controller: leases, orders, usage reports and the administration API."""

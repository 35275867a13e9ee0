"""Routing of callers' requests to endpoints, with retries and hedging."""

"""Presence, shared watches and batch placement among the gateways."""

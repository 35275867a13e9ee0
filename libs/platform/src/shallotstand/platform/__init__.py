"""Protocols and clients of the platform services."""

"""Processes of one kind that know of each other and of their health."""

"""Synchronizes a process's configuration with the store and its peers."""

"""Keeps a process's configuration in step with the store and its peers."""

"""Batches of rollouts: their log, their runs and their reads."""

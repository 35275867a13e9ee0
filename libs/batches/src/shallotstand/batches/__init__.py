"""Batches of rollouts: storing, running and serving them."""

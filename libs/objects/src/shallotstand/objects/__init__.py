"""Configuration objects, the check of a whole set, and deltas."""

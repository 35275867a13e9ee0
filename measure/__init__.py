"""Measures decisions against their baselines on seeded load."""

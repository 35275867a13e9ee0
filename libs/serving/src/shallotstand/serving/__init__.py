"""Admission, fairness, routing, retries and quarantine."""

"""Rollout jobs: slots, samples, ledger and handover."""

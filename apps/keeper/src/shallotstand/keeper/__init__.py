"""The keeper process: weight updates, retirements and usage reports."""

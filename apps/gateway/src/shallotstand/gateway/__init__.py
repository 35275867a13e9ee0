"""The gateway process, which serves callers and trainers on the platform."""

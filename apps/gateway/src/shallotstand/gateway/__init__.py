"""The process in front of callers and trainers on the fleet platform."""

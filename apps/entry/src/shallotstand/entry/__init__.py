"""The entry process in front of callers and trainers."""

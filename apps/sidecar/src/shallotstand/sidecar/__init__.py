"""The process beside each endpoint instance."""

"""The process that carries the duties on the fleet platform."""

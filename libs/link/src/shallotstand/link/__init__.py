"""Messages and connections between shallotstand processes."""

"""Objects of the platform's store, and following a kind of them."""

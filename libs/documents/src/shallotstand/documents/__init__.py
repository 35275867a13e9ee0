"""Documents in the platform's object store, and watchers for them."""

"""Parts that HTTP clients of engines, stores and other systems share."""

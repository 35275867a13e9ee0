"""Routes, endpoints and the attempts of one caller's request."""

"""Random identifiers for processes, requests and writes."""

import secrets

# With 96 random bits, collisions among a day's requests are negligible.
ID_BYTES = 12


def new_id() -> str:
    """Returns a random identifier of 24 hexadecimal digits."""
    return secrets.token_hex(ID_BYTES)

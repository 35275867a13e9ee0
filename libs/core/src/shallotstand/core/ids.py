"""Random identifiers for processes, requests and writes."""

import secrets

ID_BYTES = 12  # 96 random bits: no collision in practice among a day's requests


def new_id() -> str:
    """Returns a random identifier of 24 hexadecimal digits."""
    return secrets.token_hex(ID_BYTES)

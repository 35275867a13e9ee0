"""Rendezvous hashing: processes agree on an order without talking."""

import hashlib


def weight(name: str, process_id: str) -> bytes:
    """Returns the weight of a process for a name; the highest one comes first.

    Args:
      name: What the processes compete for, such as a role.
      process_id: Identifier of the process.
    """
    return hashlib.blake2b(
        f"{name}/{process_id}".encode(), digest_size=8
    ).digest()

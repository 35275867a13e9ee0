"""Distribution of client accounts over usage shards.

A source is the numbered sequence of usage records of one sidecar incarnation
for one shard. If a sequence spanned several shards, the process that collects
one shard couldn't tell a missing record from a record of another shard.
"""

import hashlib


def shard_of_account(account: str, shards: int) -> int:
    """Returns the shard of a client account, 0 to shards - 1."""
    digest = hashlib.blake2b(account.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % shards


def usage_source_name(incarnation: str, shard: int) -> str:
    """Returns the name of a sidecar's source for a shard."""
    return f"{incarnation}/{shard}"


def shard_of_source(source: str) -> int | None:
    """Returns the shard of a source; None if the name is malformed."""
    shard = source.rpartition("/")[2]
    return int(shard) if shard.isdecimal() else None


def incarnation_of_source(source: str) -> str:
    """Returns the sidecar incarnation of a source."""
    return source.rpartition("/")[0]

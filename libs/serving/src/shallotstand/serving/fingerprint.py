"""Content fingerprints of requests."""

import hashlib
from collections.abc import Mapping
from typing import Any

import orjson

FINGERPRINT_BYTES = 16
# Callers may change these fields between attempts; the engine's work stays the
# same.
_IGNORED_FIELDS = frozenset({"id", "request_id", "user", "stream", "metadata"})


def fingerprint(service: str, path: str, body: Mapping[str, Any]) -> bytes:
    """Returns a hash that is equal for requests with the same work.

    Args:
      service: Name of the service.
      path: URL path at the service.
      body: The decoded JSON body.
    """
    content = {
        name: value
        for name, value in body.items()
        if name not in _IGNORED_FIELDS
    }
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        service.encode(),
        path.encode(),
        orjson.dumps(content, option=orjson.OPT_SORT_KEYS),
    ):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()

"""Hashes of callers' keys."""

import hashlib
import hmac
from collections.abc import Iterable

from shallotstand.objects.types import Key

# Keys are long and random, so a fast hash is enough; a slow one would only
# burden each request. The prefix separates these hashes from other uses.
_PERSON = b"shallotstand-key"
_HASH_BYTES = 32


def hash_key(key: str) -> str:
    """Returns the hash under which a key is stored, 64 hexadecimal digits."""
    digest = hashlib.blake2b(
        key.encode(), digest_size=_HASH_BYTES, person=_PERSON
    )
    return digest.hexdigest()


class KeyRing:
    """Finds the key object of a caller's key."""

    def __init__(self, keys: Iterable[Key]):
        self._by_hash = {key.hash: key for key in keys}

    def find(self, secret: str) -> Key | None:
        """Returns the key object, or None if no client account has the key."""
        presented = hash_key(secret)
        key = self._by_hash.get(presented)
        # The lookup is by the hash of a random key, which tells an attacker
        # nothing; the comparison still takes the same time for all values.
        if key is None or not hmac.compare_digest(key.hash, presented):
            return None
        return key

"""Hashes of prompt blocks, by which engines report their cache contents."""

import hashlib

BLOCK_CHARS = 64
_HASH_BYTES = 8


def hash_prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Returns a hash for each whole block.

    Each hash also covers all blocks before its own.
    """
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(int.from_bytes(digest.copy().digest()))
    return tuple(hashes)

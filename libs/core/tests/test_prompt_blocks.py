"""Hashes of prompt blocks."""

from shallotstand.core.prompt_blocks import prompt_blocks


def test_a_hash_covers_all_before_it_and_only_whole_blocks_count():
    first, second = prompt_blocks("a" * 64 + "b" * 64 + "rest")
    assert prompt_blocks("a" * 64) == (first,)
    assert prompt_blocks("c" * 64 + "b" * 64)[1] != second
    assert prompt_blocks("a" * 63) == ()

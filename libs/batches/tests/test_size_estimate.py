"""What is left of an item follows its hint, until it outgrows that."""

import math

import pytest
from shallotstand.batches.size_estimate import OUTGROWN_SHARE, SizeEstimate


def test_hints_are_worth_what_whole_items_had():
    sizes = SizeEstimate()
    for _ in range(50):
        sizes.note(600, 10)
    assert sizes.events_left(1200, 5) == pytest.approx(15.0)


def test_item_that_outgrew_its_hint_has_a_share_left():
    sizes = SizeEstimate()
    sizes.note(600, 10)
    assert sizes.events_left(600, 40) == 40 * OUTGROWN_SHARE


def test_item_without_a_hint_has_a_share_left():
    sizes = SizeEstimate()
    sizes.note(600, 10)
    assert sizes.events_left(0, 8) == 8 * OUTGROWN_SHARE


def test_nothing_is_known_before_the_first_whole_item():
    sizes = SizeEstimate()
    sizes.note(0, 10)
    assert sizes.events_left(600, 8) == math.inf

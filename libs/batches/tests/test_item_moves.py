"""Items on engines of unequal speed move only where their batch would wait."""

import pytest
from shallotstand.batches.item_moves import (
    MAX_MOVES,
    RunningItem,
    is_worth_moving,
    may_move,
)

LATE = RunningItem(
    event_count=10,
    seconds_per_event=0.05,
    events_left=100.0,
    age_s=1.0,
    results_due_s=7.5,
    move_count=0,
)


def test_item_that_ends_in_time_stays():
    # Guards against moves that only follow the noise of the engines' speeds:
    # each one costs a connection and reads the prompt again.
    assert may_move(LATE)
    assert not may_move(LATE._replace(events_left=20.0))
    assert not may_move(LATE._replace(seconds_per_event=0.01))
    assert may_move(LATE._replace(age_s=4.0, events_left=20.0))


def test_item_without_a_due_time_may_move():
    assert may_move(LATE._replace(results_due_s=0.0, events_left=1.0))


def test_item_moves_neither_early_nor_too_often():
    assert not may_move(LATE._replace(event_count=3))
    assert not may_move(LATE._replace(move_count=MAX_MOVES))


@pytest.mark.parametrize(
    ("other", "expected"),
    [(None, False), (0.05, False), (0.043, False), (0.04, True)],
)
def test_other_engine_has_to_be_clearly_faster(other, expected):
    assert is_worth_moving(LATE, other) is expected


def test_move_that_saves_little_is_not_worth_it():
    assert not is_worth_moving(LATE._replace(events_left=10.0), 0.02)

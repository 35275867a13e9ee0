"""Answers whose head is not one of HTTP count as broken."""

import pytest

from .conftest import call_reader
from .readers import READERS

# What is not a status code of a final answer.
STATUSES = ["000 Odd", "099 Odd", "101 Switch", "600 Odd", "999 Odd"]


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("name", READERS)
def test_impossible_status_is_no_answer(name, status):
    # Guards against bytes of a server in trouble that reach a caller as the
    # answer, and against a write that counts as done by a status below 300.
    reader = READERS[name]
    outcome = call_reader(reader, reader.whole(status=status))
    assert reader.is_broken(outcome), outcome


@pytest.mark.parametrize("name", READERS)
def test_answer_behind_an_impossible_one_is_not_taken(name):
    # Guards against a head that is refused while the one after it is used.
    reader = READERS[name]
    answer = reader.whole(status="000 Odd") + reader.whole()
    outcome = call_reader(reader, answer)
    assert reader.is_broken(outcome), outcome

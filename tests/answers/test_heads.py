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


# Lines that are no field: with a blank first, in a name, or without a name.
LINES = [
    b" continued",
    b"\tcontinued",
    b" X-Own: 1",
    b"X Own: 1",
    b"X-Own : 1",
    b"X\tOwn: 1",
    b"X\x00Own: 1",
    b"X\x01Own: 1",
    b"X\x7fOwn: 1",
    b"X-Own",
    b": 1",
]


@pytest.mark.parametrize("is_first", [False, True])
@pytest.mark.parametrize("line", LINES)
@pytest.mark.parametrize("name", READERS)
def test_line_that_is_no_field_is_no_answer(name, line, is_first):
    # Guards against a line that is passed on as part of another field or as a
    # field of its own, and against a body that ends where such a line says.
    reader = READERS[name]
    answer = (
        reader.whole().replace(b"\r\n", b"\r\n" + line + b"\r\n", 1)
        if is_first
        else reader.whole(b"X-Other: 1", line)
    )
    outcome = call_reader(reader, answer)
    assert reader.is_broken(outcome), outcome


@pytest.mark.parametrize("name", READERS)
def test_line_of_an_informational_answer_that_is_no_field(name):
    reader = READERS[name]
    informational = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n"
    outcome = call_reader(reader, informational + reader.whole())
    assert reader.is_broken(outcome), outcome

"""Answers that break off are never taken for whole ones."""

import pytest
from shallotstand.standins.early_http import Ending

from .conftest import LOOPS, call_reader
from .readers import READERS

# With 0 the connection ends before the reader has seen the answer's head.
PAUSES_S = [0.0, 0.02]


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("name", READERS)
def test_reset_answer_is_never_whole(name, loop, pause_s):
    # Guards against a part of an answer that counts as the whole: the error of
    # the connection was forgotten if the request was still being written.
    reader = READERS[name]
    answer = reader.head() + reader.body
    outcome = call_reader(reader, answer, Ending.RESET, loop, pause_s)
    assert reader.is_broken(outcome), outcome


def cut_answer(reader, framing):
    """Returns an answer that ends within its body."""
    if framing == "length":
        return reader.whole()[:-1]
    size = len(reader.body) + (framing == "chunk")
    chunk = b"%x\r\n%b" % (size, reader.body)
    return reader.head(b"Transfer-Encoding: chunked") + chunk


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("framing", ["length", "chunk", "last chunk"])
@pytest.mark.parametrize("name", READERS)
def test_answer_short_of_its_length_is_never_whole(name, framing, ending, loop):
    # Guards against a status that counts although its answer broke off.
    reader = READERS[name]
    answer = cut_answer(reader, framing)
    outcome = call_reader(reader, answer, ending, loop)
    assert reader.is_broken(outcome), outcome


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.CLOSE_UNREAD])
@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("name", READERS)
def test_answer_that_a_plain_close_ends_is_whole(name, loop, ending, pause_s):
    # Guards against a sound answer that is refused, or waits for the rest of
    # the request to be written to a server that reads no more.
    reader = READERS[name]
    answer = reader.head() + reader.body
    outcome = call_reader(reader, answer, ending, loop, pause_s)
    assert reader.is_accepted(outcome), outcome

"""Sound answers pass, however their end is marked."""

import pytest
from shallotstand.standins.early_http import Ending

from .conftest import LOOPS, call_reader
from .readers import OWN, READERS, UNKNOWN_CODES, Reader, send_request

LARGE = b"b" * 7_000_000


def encode_chunks(body, size):
    """Returns a body in chunks."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


def encode_answer(reader, framing):
    """Returns the answer that a reader accepts, and how it ends."""
    if framing == "length":
        return reader.whole(), Ending.KEEP
    if framing == "length, closed":
        return reader.whole(b"Connection: close"), Ending.CLOSE
    if framing == "plain close":
        return reader.head() + reader.body, Ending.CLOSE
    if framing == "after an informational answer":
        informational = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        return informational + reader.whole(), Ending.KEEP
    chunks = encode_chunks(reader.body, 1 << 20) + b"0\r\n\r\n"
    return reader.head(b"Transfer-Encoding: chunked") + chunks, Ending.KEEP


FRAMINGS = [
    "length",
    "length, closed",
    "plain close",
    "chunked",
    "after an informational answer",
]


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", READERS)
def test_sound_answer_is_accepted(name, framing, loop):
    # Guards against checks that refuse sound answers. The server answers the
    # uploads among them early.
    reader = READERS[name]
    answer, ending = encode_answer(reader, framing)
    outcome = call_reader(reader, answer, ending, loop)
    assert reader.is_accepted(outcome), outcome


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", ["read", "upload", "upload once"])
def test_large_answer_is_whole(name, framing, loop):
    # Guards against a loss of what has arrived and is not read yet when the
    # connection ends.
    reader = READERS[name]._replace(body=LARGE)
    answer, ending = encode_answer(reader, framing)
    outcome = call_reader(reader, answer, ending, loop)
    assert reader.is_accepted(outcome), outcome
    assert outcome.body == LARGE


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("ending", [Ending.KEEP, Ending.CLOSE])
@pytest.mark.parametrize(
    ("method", "status"),
    [
        ("HEAD", "200 OK"),
        ("GET", "204 No Content"),
        ("GET", "304 Not Modified"),
    ],
)
def test_answer_that_has_no_body_is_accepted(method, status, ending, loop):
    # Guards against a body that is missed where there is none.
    reader = Reader(
        send_request(method, b""), UNKNOWN_CODES, status, b"", headers=OWN
    )
    outcome = call_reader(reader, reader.head(), ending, loop)
    assert reader.is_accepted(outcome), outcome
    assert outcome.body == b""

"""Bodies in a transfer coding that no request asks for."""

import pytest
from shallotstand.standins.early_http import Ending

from .conftest import call_reader
from .readers import READERS

# Neither of these ends a body; both name chunks.
CODINGS_WITHOUT_END = ["chunked, gzip", "xchunked", "gzip"]


def encode(reader, coding):
    return reader.head(f"Transfer-Encoding: {coding}".encode()) + reader.body


@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE])
@pytest.mark.parametrize("coding", CODINGS_WITHOUT_END)
@pytest.mark.parametrize("name", READERS)
def test_unrequested_coding_is_no_answer(name, coding, ending):
    # Guards against a part that counts as whole since its coding resembles
    # chunks, and against encoded bytes that are passed on as the content.
    reader = READERS[name]
    outcome = call_reader(reader, encode(reader, coding), ending)
    assert reader.is_broken(outcome), outcome


@pytest.mark.parametrize("coding", ["gzip, chunked", "chunked, chunked"])
@pytest.mark.parametrize("name", READERS)
def test_coding_below_chunks_is_no_answer(name, coding):
    reader = READERS[name]
    head = reader.head(f"Transfer-Encoding: {coding}".encode())
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(reader.body), reader.body)
    outcome = call_reader(reader, head + chunks)
    assert reader.is_broken(outcome), outcome


@pytest.mark.parametrize("name", READERS)
def test_identity_is_no_coding(name):
    # Guards against a sound answer of an old server that is refused.
    reader = READERS[name]
    answer = encode(reader, "identity")
    whole = call_reader(reader, answer, Ending.CLOSE)
    assert reader.is_accepted(whole), whole
    cut = call_reader(reader, answer, Ending.RESET)
    assert reader.is_broken(cut), cut

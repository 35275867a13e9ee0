"""Refusals tell that a request did not run, if they are complete."""

import pytest
from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.standins.early_http import Ending

from .conftest import LOOPS, call_reader
from .readers import READERS

# Readers that send requests, which may be sent again if they did not run.
REQUESTS = ["read", "upload", "upload once", "stream", "stream of an upload"]
REFUSALS = ["503 Full", "421 Other"]
NOT_RUN = ("X-Shallotstand-Not-Executed", "1")
CHUNKED = b"Transfer-Encoding: chunked"


def refusal(name, status):
    reader = READERS[name]
    return reader._replace(
        status=status, body=b"full", headers=(*reader.headers, NOT_RUN)
    )


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("framing", ["length", "chunks", "reset"])
@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("name", REQUESTS)
def test_broken_refusal_says_nothing(name, status, framing, loop):
    # Guards against a request that must run once and is sent again after an
    # answer that broke off.
    reader = refusal(name, status)
    answer, ending = {
        "length": (reader.whole()[:-1], Ending.CLOSE),
        "chunks": (reader.head(CHUNKED) + b"4\r\nfull\r\n", Ending.CLOSE),
        "reset": (reader.head() + b"full", Ending.RESET),
    }[framing]
    outcome = call_reader(reader, answer, ending, loop)
    assert reader.is_broken(outcome), outcome
    assert not is_not_run(outcome.code)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("framing", ["length", "empty", "chunks", "close"])
@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("name", REQUESTS)
def test_complete_refusal_counts(name, status, framing, loop):
    reader = refusal(name, status)
    answer, ending = {
        "length": (reader.whole(), Ending.KEEP),
        "empty": (reader._replace(body=b"").whole(), Ending.KEEP),
        "chunks": (
            reader.head(CHUNKED) + b"4\r\nfull\r\n0\r\n\r\n",
            Ending.KEEP,
        ),
        "close": (reader.head() + b"full", Ending.CLOSE),
    }[framing]
    outcome = call_reader(reader, answer, ending, loop)
    assert is_not_run(outcome.code), outcome


@pytest.mark.parametrize("name", REQUESTS)
def test_refusal_that_stalls_is_given_up(name):
    # Guards against a request that waits for the rest of a refusal until its
    # deadline.
    reader = refusal(name, "503 Full")
    outcome = call_reader(reader, reader.whole()[:-1], Ending.KEEP)
    assert outcome.code == ResultCode.ENDPOINT_BAD_ANSWER

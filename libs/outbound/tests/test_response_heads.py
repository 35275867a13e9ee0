"""Heads whose bytes arrive in any parts."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from shallotstand.outbound.response_heads import HeadLines

HEAD = b"HTTP/1.1 200 OK\r\nX-Own: a\r\nX-Other:  b \r\n\r\n"
# Content that looks like continued fields.
BODY = b"a\n b\r\n\tc\n\n d"


def read_parts(text, cuts):
    lines = HeadLines()
    bounds = [0, *sorted(cuts), len(text)]
    for start, end in itertools.pairwise(bounds):
        lines.feed(text[start:end])
    return lines


def cuts_of(text):
    return st.lists(st.integers(0, len(text)))


def continued(head, at_line):
    """Returns a head whose line is continued by another one."""
    lines = head.split(b"\n")
    lines.insert(at_line, b" c\r")
    return b"\n".join(lines)


TEXTS = [
    HEAD + BODY,
    HEAD.replace(b"\r\n", b"\n") + BODY,
    b"\r\n\r\n" + HEAD + BODY,
]


@pytest.mark.parametrize("text", TEXTS)
@settings(derandomize=True, deadline=None)
@given(data=st.data())
def test_sound_head_has_no_continuation(text, data):
    # Guards against content that is taken for lines of the head.
    assert not read_parts(text, data.draw(cuts_of(text))).has_continuation


@pytest.mark.parametrize("before", [b"", b"\r\n\r\n"])
@pytest.mark.parametrize("at_line", [1, 2, 3])
@settings(derandomize=True, deadline=None)
@given(data=st.data())
def test_continuation_is_found_in_any_parts(at_line, before, data):
    # Guards against a line whose start arrives apart from the line end before,
    # and against empty lines before a head that are taken for its end.
    text = before + continued(HEAD, at_line) + BODY
    assert read_parts(text, data.draw(cuts_of(text))).has_continuation


@pytest.mark.parametrize("at_line", [1, 2, 3])
@settings(derandomize=True, deadline=None)
@given(data=st.data())
def test_continuation_is_found_in_the_next_head(at_line, data):
    text = HEAD + continued(HEAD, at_line) + BODY
    cut = data.draw(st.integers(len(HEAD), len(text)))
    lines = read_parts(text[:cut], [len(HEAD) - 1]).next_head()
    lines.feed(text[cut:])
    assert lines.has_continuation


def test_head_after_an_informational_one_is_sound():
    lines = read_parts(HEAD + HEAD + BODY, []).next_head()
    assert not lines.has_continuation

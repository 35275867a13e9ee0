"""Events of a stream, whatever they contain and however they arrive."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from shallotstand.adapter.events import EventParser

# Characters that separate lines for `str.splitlines`, but not in a stream.
UNICODE_SEPARATORS = "\v\f\x1c\x1d\x1e\x85\u2028\u2029"


def parse(raw, *cuts):
    parser = EventParser()
    bounds = [0, *sorted(cuts), len(raw)]
    events = [
        event
        for start, end in itertools.pairwise(bounds)
        for event in parser.feed(raw[start:end])
    ]
    assert parser.is_complete
    return [(event.number, event.data) for event in events]


@pytest.mark.parametrize("separator", UNICODE_SEPARATORS)
def test_data_is_not_cut_at_other_separators(separator):
    # Guards against a text that loses what follows such a character.
    data = f"before{separator}after"
    raw = f"id: 1\ndata: {data}\n\n".encode()
    assert parse(raw) == [(1, data)]


@pytest.mark.parametrize("end", ["\n", "\r\n", "\r"])
def test_line_ends_of_the_format_separate_fields(end):
    raw = f"id: 1{end}data: a{end}data: b\n\n".encode()
    assert parse(raw) == [(1, "a\nb")]


@given(
    texts=st.lists(
        st.text(
            st.characters(exclude_categories=["Cs"], exclude_characters="\r\n")
        ),
        max_size=4,
    ),
    positions=st.lists(st.floats(0, 1), max_size=4),
)
def test_events_are_the_same_however_they_are_cut(texts, positions):
    # Guards against a text that depends on where its bytes are split.
    raw = "".join(
        f"id: {number}\ndata: {text}\n\n" for number, text in enumerate(texts)
    ).encode()
    cuts = [int(position * len(raw)) for position in positions]
    assert parse(raw, *cuts) == list(enumerate(texts))

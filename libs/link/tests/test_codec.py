"""Messages survive the wire; garbage becomes a numbered failure."""

import typing

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.codec import Encoded, decode, encode
from shallotstand.link.messages import Frame, Frames, Hello, Message, Ping

HELLO = Hello("entry-1", "entry", "peak-a", "i" * 24, 7)


def strategy_for(hint):
    """Returns values that fit a field's type and its size in the schema."""
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return st.lists(strategy_for(item), max_size=3).map(tuple)
    if hasattr(hint, "_fields"):
        return message_of(hint)
    return {
        int: st.integers(0, 127),
        bool: st.booleans(),
        str: st.text(max_size=8),
        bytes: st.binary(max_size=8),
    }[hint]


def message_of(message_type):
    hints = typing.get_type_hints(message_type)
    return st.builds(
        message_type,
        **{name: strategy_for(hints[name]) for name in message_type._fields},
    )


@pytest.mark.parametrize("message_type", typing.get_args(Message))
def test_every_message_survives_the_wire(message_type):
    @settings(max_examples=25, derandomize=True)
    @given(message_of(message_type))
    def check(message):
        assert decode(encode(message)) == message

    check()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_garbage_never_raises(data):
    decode(Encoded(data, packed=False))
    decode(Encoded(data, packed=True))


def test_flipped_bytes_never_raise():
    # A bit flip must cost the sender its connection, not end this process.
    frames = Frames((Frame(1, data=b"x" * 40, reason="late"),) * 3)
    for good in (encode(frames), encode(HELLO)):
        for index, byte in enumerate(good.body):
            flipped = bytearray(good.body)
            flipped[index] = byte ^ 0x81
            decode(good._replace(body=bytes(flipped)))


def test_truncated_message_is_a_failure():
    good = encode(HELLO)
    result = decode(good._replace(body=good.body[: len(good.body) // 2]))
    assert isinstance(result, Failure)
    assert result.code == ResultCode.BAD_FRAME


def test_unset_fields_have_their_defaults():
    assert decode(encode(Ping(0, 0, 0))) == Ping(0, 0, 0)

"""Conversion between typed messages and Cap'n Proto bytes."""

import functools
import pathlib
import types
import typing
from collections.abc import Callable
from typing import Any, NamedTuple

import capnp
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link import messages
from shallotstand.link.messages import Message

# pycapnp installs an import hook by default; a plain load is enough here.
capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))

# Receivers refuse messages that are larger than this when encoded.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Limits how far a small message can expand when it is read. A word has 8 bytes,
# so the limit is eight times MAX_MESSAGE_BYTES.
_TRAVERSAL_LIMIT_WORDS = MAX_MESSAGE_BYTES


_UNPACKED_TYPES = (messages.Submit, messages.Frames, messages.Chunks)


class _Field(NamedTuple):
    """How to convert one field of a message.

    Attributes:
      wire_name: Name of the field in the schema.
      read: Converts a Cap'n Proto value into a value for the NamedTuple.
      write: Converts a value of the NamedTuple into a value for Cap'n Proto.
    """

    wire_name: str
    read: Callable[[Any], Any]
    write: Callable[[Any], Any]


class EncodedMessage(NamedTuple):
    """A message that is ready to be sent.

    Attributes:
      body: The encoded message.
      packed: Whether the body is in Cap'n Proto's packed encoding.
    """

    body: bytes
    packed: bool


def encode(message: Message) -> EncodedMessage:
    """Encodes a message.

    Control messages consist mostly of zero bytes, which packing removes.
    `Submit`, `Frames` and `Chunks` consist mostly of text, which has no zero
    bytes, and are not packed.
    """
    envelope = _SCHEMA.Envelope.new_message(
        **{_wire_name(type(message).__name__): _message_to_wire(message)}
    )
    if isinstance(message, _UNPACKED_TYPES):
        return EncodedMessage(envelope.to_bytes(), packed=False)
    return EncodedMessage(envelope.to_bytes_packed(), packed=True)


def decode(encoded: EncodedMessage) -> Message | Failure:
    """Decodes a message.

    Errors:
      BAD_FRAME: The bytes are not a valid message of the schema.
    """
    try:
        if encoded.packed:
            envelope = _SCHEMA.Envelope.from_bytes_packed(
                encoded.body, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
            )
            return _unwrap_envelope(envelope)
        with _SCHEMA.Envelope.from_bytes(
            encoded.body, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as envelope:
            return _unwrap_envelope(envelope)
    except (capnp.KjException, KeyError, ValueError) as error:
        return Failure(ResultCode.BAD_FRAME, type(error).__name__)


def _unwrap_envelope(envelope: Any) -> Message:
    name = str(envelope.which())
    return _message_from_wire(getattr(envelope, name), _TYPE_BY_NAME[name])


def _wire_name(name: str) -> str:
    """Converts `ConfigAsk` or `config_ask` into `configAsk`."""
    if "_" in name:
        first, *rest = name.split("_")
        return first + "".join(word.capitalize() for word in rest)
    return name[0].lower() + name[1:]


_TYPE_BY_NAME: dict[str, type] = {
    _wire_name(message_type.__name__): message_type
    for message_type in typing.get_args(Message)
}


def _message_to_wire(value: Any) -> dict[str, Any]:
    fields = _message_fields(type(value))
    return {
        field.wire_name: field.write(item)
        for field, item in zip(fields, value, strict=True)
        if item  # the schema's defaults are zero and empty
    }


def _message_from_wire(reader: Any, message_type: type) -> Any:
    return message_type(
        *(
            field.read(getattr(reader, field.wire_name))
            for field in _message_fields(message_type)
        )
    )


@functools.cache
def _message_fields(message_type: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(message_type, vars(messages))
    return tuple(
        _Field(_wire_name(name), *_converters(hints[name]))
        for name in message_type._fields
    )


def _converters(hint: Any) -> tuple[Callable, Callable]:
    """Returns the functions that read and write a field of this type."""
    if isinstance(hint, types.GenericAlias):
        item_type = typing.get_args(hint)[0]
        if hasattr(item_type, "_fields"):
            return (
                lambda values: tuple(
                    _message_from_wire(v, item_type) for v in values
                ),
                lambda values: [_message_to_wire(v) for v in values],
            )
        return tuple, list
    if hint is bytes:
        return bytes, bytes
    if hint is int:
        # pycapnp rejects subclasses of int, such as ResultCode.
        return _identity, int
    return _identity, _identity


def _identity(value: Any) -> Any:
    return value

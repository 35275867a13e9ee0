"""Objects of the store as messages between peers."""

import zlib

import orjson
from shallotstand.documents.protocols import Change, Document
from shallotstand.link.gateway_messages import StoredObject

# Texts and bodies shrink to half; bytes between zones are billed, and the
# fastest level takes a fraction of a millisecond.
COMPRESSION_LEVEL = 1


def to_message(change: Change, with_content: bool = True) -> StoredObject:
    """Returns the message for a change; a removal has no content."""
    document = change.document
    is_passed = with_content and not change.is_removed
    return StoredObject(
        document.name,
        document.revision,
        change.is_removed,
        is_passed,
        _pack(document) if is_passed else b"",
    )


def to_change(kind: str, item: StoredObject) -> Change:
    """Returns the change in a message.

    Raises:
      ValueError, zlib.error: The content is not what `to_message` makes.
    """
    spec, status = None, None
    if item.has_content:
        spec, status = orjson.loads(zlib.decompress(item.content))
    return Change(
        Document(kind, item.name, item.revision, spec, status), item.is_removed
    )


def _pack(document: Document) -> bytes:
    content = orjson.dumps([document.spec, document.status])
    return zlib.compress(content, COMPRESSION_LEVEL)

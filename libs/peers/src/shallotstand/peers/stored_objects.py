"""Objects of the store as messages between peers."""

from shallotstand.documents.protocols import Change, Document
from shallotstand.link.gateway_messages import StoredObject
from shallotstand.peers.content import pack, unpack


def to_message(change: Change, with_content: bool) -> StoredObject:
    """Returns the message for a change; a removal has no content."""
    document = change.document
    is_passed = with_content and not change.is_removed
    return StoredObject(
        document.name,
        document.revision,
        change.is_removed,
        is_passed,
        pack([document.spec, document.status]) if is_passed else b"",
    )


def to_change(kind: str, item: StoredObject) -> Change:
    """Returns the change in a message.

    Raises:
      ValueError, zlib.error: The content is not what `to_message` makes.
    """
    spec, status = unpack(item.content) if item.has_content else (None, None)
    return Change(
        Document(kind, item.name, item.revision, spec, status), item.is_removed
    )

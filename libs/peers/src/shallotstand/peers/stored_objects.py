"""Conversion between changes of documents and objects in messages."""

from absl import logging
from shallotstand.core import logs
from shallotstand.documents.protocols import Change, Document
from shallotstand.link.gateway_messages import StoredObject
from shallotstand.peers.content import compress_json, decompress_json


def to_stored_object(change: Change, include_content: bool) -> StoredObject:
    """Converts a change to an object of a message.

    A removal has no content. Content that another program wrote and that JSON
    can't express, such as deeply nested one, is left out.
    """
    document = change.document
    has_content = include_content and not change.is_removed
    content = b""
    if has_content:
        try:
            content = compress_json([document.spec, document.status])
        except (TypeError, ValueError) as error:
            has_content = False
            logs.event(
                logging.WARNING,
                "Object can't be passed on to peers",
                kind=document.kind,
                name=document.name,
                revision=document.revision,
                reason=repr(error),
            )
    return StoredObject(
        document.name,
        document.revision,
        change.is_removed,
        has_content,
        content,
    )


def to_change(kind: str, stored_object: StoredObject) -> Change:
    """Converts an object of a message to a change.

    Raises:
      ValueError, zlib.error: The content is invalid.
    """
    spec, status = (
        decompress_json(stored_object.content)
        if stored_object.has_content
        else (None, None)
    )
    return Change(
        Document(
            kind, stored_object.name, stored_object.revision, spec, status
        ),
        stored_object.is_removed,
    )

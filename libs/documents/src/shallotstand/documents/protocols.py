"""Interface to the platform's object store, independent of HTTP."""

from typing import Any, NamedTuple, Protocol

from shallotstand.core.failure import Failure

# Errors that decoding raises if content has other fields, types or ranges than
# expected. Other programs write to the store, too.
MALFORMED_CONTENT = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


class Document(NamedTuple):
    """A document in the store.

    Attributes:
      kind: Kind, such as `batch-log`.
      name: Name, unique within its kind.
      revision: Revision of the store at which the document last changed.
      spec: Content, as decoded from JSON.
      status: Status, as decoded from JSON; None if there is none.
    """

    kind: str
    name: str
    revision: int
    spec: Any
    status: Any = None


class Listing(NamedTuple):
    """All documents of a kind.

    Attributes:
      documents: The documents.
      revision: Revision from which a watch can continue without a gap.
    """

    documents: tuple[Document, ...]
    revision: int


class Change(NamedTuple):
    """One change of a document.

    Attributes:
      document: The document after the change, or before its removal.
      is_removed: Whether the document was removed.
    """

    document: Document
    is_removed: bool


class ChangeBatch(NamedTuple):
    """Changes since a revision, oldest first.

    Attributes:
      changes: The changes; empty if there were none before the timeout.
      revision: Revision from which the next watch continues.
    """

    changes: tuple[Change, ...]
    revision: int


class DocumentStore(Protocol):
    """A store of documents.

    Operations are linearizable, except `get` with `may_be_stale`.

    Any method may fail with STORE_UNAVAILABLE, which means that the call had no
    effect, or with OUTCOME_UNKNOWN, which means that a write may have taken
    effect or may still do so.
    """

    async def list(self, kind: str) -> Listing | Failure:
        """Reads all documents of a kind."""
        ...

    async def get(
        self, kind: str, name: str, may_be_stale: bool = False
    ) -> Document | Failure:
        """Reads a document.

        Args:
          kind: Its kind.
          name: Its name.
          may_be_stale: Whether a result that is seconds old is acceptable;
            such a read costs a tenth of a regular one.

        Errors:
          OBJECT_NOT_FOUND: The document doesn't exist.
        """
        ...

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Document | Failure:
        """Creates a document.

        Errors:
          VERSION_CONFLICT: The document exists already.
          VALUE_TOO_LARGE: The document exceeds the store's size limit.
        """
        ...

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Document | Failure:
        """Replaces the content of a document if it has this revision.

        Errors:
          VERSION_CONFLICT: The document has another revision.
          OBJECT_NOT_FOUND: The document doesn't exist.
          VALUE_TOO_LARGE: The document exceeds the store's size limit.
        """
        ...

    async def set_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Document | Failure:
        """Replaces the status of a document if it has this revision.

        Errors:
          The same as for `replace`.
        """
        ...

    async def delete(self, kind: str, name: str) -> Failure | None:
        """Removes a document; does nothing if it doesn't exist."""
        ...

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> ChangeBatch | Failure:
        """Waits up to `wait_s` seconds for changes of a kind.

        Returns:
          The changes after `revision`.

        Errors:
          HISTORY_GONE: The store no longer has the changes since `revision`.
        """
        ...

"""Typed messages between gateways; part of `messages.capnp`, too."""

from typing import NamedTuple


class EndpointUse(NamedTuple):
    """Requests that a process runs at an endpoint."""

    endpoint: str
    running: int


class Presence(NamedTuple):
    """What a gateway tells its peers of itself.

    Attributes:
      node: Name of its machine.
      process_id: Identifier of the process; new at each start.
      reaches_store: Whether it can write to the store and takes work.
      uses: What it runs, by endpoint.
      batches: Identifiers of the batches that it runs or has run.
    """

    node: str
    process_id: str
    reaches_store: bool
    uses: tuple[EndpointUse, ...]
    batches: tuple[str, ...] = ()


class StoredObject(NamedTuple):
    """An object of the store, or the removal of one.

    Attributes:
      name: Its name.
      revision: The store's revision of its last change.
      is_removed: Whether the object is gone.
      has_content: Whether the sender passed its content on.
      content: Specification and status as JSON, compressed by zlib; empty if
        not passed on.
    """

    name: str
    revision: int
    is_removed: bool = False
    has_content: bool = False
    content: bytes = b""


class StoreChanges(NamedTuple):
    """All changes of a kind between two revisions of the store.

    Sent by the process that watches the store for its peers, also if nothing
    has changed, so that they know how old their copies are.

    Attributes:
      kind: The kind.
      from_revision: The changes follow this revision.
      to_revision: No other change of the kind is as old as this revision.
      objects: The changes, oldest first.
    """

    kind: str
    from_revision: int
    to_revision: int
    objects: tuple[StoredObject, ...]


class BatchAsk(NamedTuple):
    """Asks the process that runs a batch for what the sender lacks of it.

    Attributes:
      number: Number of the question on this connection.
      batch: Identifier of the batch.
      knows_submission: Whether the sender has the submission.
      entries: Entries of results that the sender has.
      wait_ms: Milliseconds to wait for another one.
    """

    number: int
    batch: str
    knows_submission: bool
    entries: int
    wait_ms: int


class BatchAnswer(NamedTuple):
    """Answers `BatchAsk`.

    Attributes:
      number: Number of the question.
      is_sure: Whether nothing else was listed when it was answered.
      entries: Entries of the batch that the sender of the question lacked.
    """

    number: int
    is_sure: bool
    entries: tuple[StoredObject, ...]

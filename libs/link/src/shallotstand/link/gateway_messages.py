"""Typed messages between gateways; part of `messages.capnp`, too."""

from typing import NamedTuple


class EndpointUse(NamedTuple):
    """What a process runs at an endpoint.

    Attributes:
      endpoint: The endpoint.
      running: Requests that run there.
      pace_us: Microseconds for a unit of work, as just measured; 0 if it was
        not measured lately.
    """

    endpoint: str
    running: int
    pace_us: int = 0


class Presence(NamedTuple):
    """What a gateway tells its peers of itself.

    Attributes:
      node: Name of its machine.
      process_id: Identifier of the process; new at each start.
      reaches_store: Whether it can write to the store and takes work.
      uses: What it runs, by endpoint.
      batches: Identifiers of the batches that it runs, and of those that it
        can answer for since they are over; empty if `keeps_batches`.
      zone: Availability zone of its machine.
      processor_share: What it may use of a core, in hundredths.
      keeps_batches: Whether the batches are those that it told last.
    """

    node: str
    process_id: str
    reaches_store: bool
    uses: tuple[EndpointUse, ...]
    batches: tuple[str, ...] = ()
    zone: str = ""
    processor_share: int = 0
    keeps_batches: bool = False


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
    """A question about a batch to the process that runs it.

    Attributes:
      number: Number of the question, unique in its process.
      batch: Identifier of the batch.
      content: The question as JSON, compressed by zlib.
    """

    number: int
    batch: str
    content: bytes


class BatchAnswer(NamedTuple):
    """Answers `BatchAsk`.

    Attributes:
      number: Number of the question.
      code: Result code; 0 if there is an answer.
      content: The answer as JSON, compressed by zlib.
    """

    number: int
    code: int
    content: bytes

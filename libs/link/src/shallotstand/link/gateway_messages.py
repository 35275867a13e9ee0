"""Typed messages between gateways; their schema is in `messages.capnp`."""

from typing import NamedTuple, TypeAlias


class EndpointUse(NamedTuple):
    """Load that a gateway puts on an endpoint, and the endpoint's pace.

    Attributes:
      endpoint: Name of the endpoint.
      running: Number of the gateway's requests that the endpoint is running.
      pace_us: Microseconds that the endpoint takes per unit of work; 0 if
        there is no recent measurement. Only values of endpoints of the same
        service can be compared, because the unit depends on the service.
      has_statement: Whether the endpoint ever stated a limit to the gateway,
        so that the next three fields have a meaning.
      statement_age_ms: Milliseconds since its newest statement.
      has_limit: Whether that statement is a limit; if not, it has ended.
      limit_per_1000_s: The limit, in requests per 1,000 seconds.
      waiting: Number of the gateway's requests that wait for the endpoint, for
        which it takes a share of the limit; 0 if it takes none.
      work_left_ms: Milliseconds of work that the running requests still cause
        there.
    """

    endpoint: str
    running: int
    pace_us: int = 0
    has_statement: bool = False
    statement_age_ms: int = 0
    has_limit: bool = False
    limit_per_1000_s: int = 0
    waiting: int = 0
    work_left_ms: int = 0


class Presence(NamedTuple):
    """State of a gateway, which it sends to its peers.

    Attributes:
      node: Name of its instance.
      process_id: Identifier of the process; new at each start.
      reaches_store: Whether it can write to the store and accepts work.
      uses: Its use of each endpoint.
      batches: Identifiers of the batches that it runs, and of ended batches
        for which it can answer requests; empty if `keeps_batches`.
      zone: Availability zone of its instance.
      processor_share: Its CPU limit in hundredths of a core.
      keeps_batches: Whether `batches` is left out because it has not changed
        since the gateway's previous Presence.
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
      name: Name of the object.
      revision: The store's revision of its last change.
      is_removed: Whether the object was removed.
      has_content: Whether the message includes the content.
      content: Specification and status as JSON, compressed by zlib; empty if
        not included.
    """

    name: str
    revision: int
    is_removed: bool = False
    has_content: bool = False
    content: bytes = b""


class StoreChanges(NamedTuple):
    """All changes to objects of one kind between two store revisions.

    Sent by the process that watches the store for its peers, even if nothing
    has changed, so that they know how old their copies are.

    Attributes:
      kind: Kind of the objects.
      from_revision: The changes start after this revision.
      to_revision: The changes are complete up to and including this revision.
      objects: The changes, oldest first.
    """

    kind: str
    from_revision: int
    to_revision: int
    objects: tuple[StoredObject, ...]


class CrashReport(NamedTuple):
    """The end of an endpoint, or of its connection, while it ran a request.

    Attributes:
      fingerprint: The request.
      endpoint: Name of the endpoint.
      started_ms: Start of the endpoint, in Unix milliseconds.
      age_ms: Milliseconds since the end.
      is_confirmed: Whether the endpoint is known to have ended.
    """

    fingerprint: bytes
    endpoint: str
    started_ms: int
    age_ms: int
    is_confirmed: bool = False


class CrashNews(NamedTuple):
    """What a gateway knows of requests under which endpoints ended.

    Attributes:
      reports: Ends of endpoints.
      cleared: Requests that an endpoint has answered since.
    """

    reports: tuple[CrashReport, ...] = ()
    cleared: tuple[bytes, ...] = ()


class BatchAsk(NamedTuple):
    """A request about a batch, to the process that runs it or is to run it.

    Attributes:
      number: Number of the request, unique in the sending process.
      batch: Identifier of the batch.
      content: The request as JSON, compressed by zlib.
    """

    number: int
    batch: str
    content: bytes


class BatchAnswer(NamedTuple):
    """Response to `BatchAsk`.

    Attributes:
      number: Number of the request.
      code: Result code; 0 if the request succeeded.
      content: The response as JSON, compressed by zlib.
    """

    number: int
    code: int
    content: bytes


GatewayMessage: TypeAlias = (
    Presence | StoreChanges | CrashNews | BatchAsk | BatchAnswer
)

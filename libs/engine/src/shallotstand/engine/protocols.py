"""What shallotstand needs of a model engine or plain service."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from shallotstand.core.failure import Failure


class EngineRequest(NamedTuple):
    """A request as the endpoint gets it.

    Attributes:
      path: Path at the endpoint, such as `/v1/completions`.
      body: JSON body; empty for a GET.
      request_id: Identifier for the endpoint's logs.
      priority: Higher values run first.
      timeout_s: Seconds until the caller's deadline.
    """

    path: str
    body: bytes
    request_id: str
    priority: int
    timeout_s: float


class EngineLoad(NamedTuple):
    """A load report, which lags behind the engine's state.

    Attributes:
      incarnation: Identifier of this run of the engine.
      running: Requests in the batch.
      queued: Requests waiting.
      slots: Most requests in the batch.
      free_blocks: Free blocks of the KV cache.
      version: Weight version in force; empty while unknown.
      added: Hashes of prompt blocks that entered the prefix cache.
      evicted: Hashes of prompt blocks that left it.
    """

    incarnation: str
    running: int
    queued: int
    slots: int
    free_blocks: int
    version: str
    added: tuple[int, ...]
    evicted: tuple[int, ...]


class EngineOrder(NamedTuple):
    """An order that changes an engine.

    Attributes:
      action: `load`, `switch`, `role` or `drain`.
      argument: Weight version, adapter or role.
      epoch: Fencing number; engines that check it refuse a lower one.
      timeout_s: Seconds until the order expires.
    """

    action: str
    argument: str
    epoch: int
    timeout_s: float


class Answer(Protocol):
    """An answer whose head has arrived.

    Attributes:
      status: HTTP status.
      content_type: Content type of the body.
    """

    status: int
    content_type: str

    def chunks(self) -> AsyncIterator[bytes | Failure]:
        """Yields the body; a Failure comes last if the answer was cut."""
        ...


class Engine(Protocol):
    """An endpoint that runs requests."""

    def open(
        self, request: EngineRequest
    ) -> AbstractAsyncContextManager[Answer | Failure]:
        """Sends a request; leaving the context early cancels it.

        Errors:
          ENDPOINT_REFUSED: The endpoint could not be reached; not run.
          ANSWER_CUT: The connection was lost; the outcome is unknown.
          ENDPOINT_TIMEOUT: No answer before the deadline; unknown.
        """
        ...

    async def load(self) -> EngineLoad | Failure:
        """Asks for the load report.

        Errors:
          ENDPOINT_REFUSED: The endpoint does not answer.
        """
        ...

    async def order(self, order: EngineOrder) -> Failure | None:
        """Gives an order and waits until it is carried out.

        Errors:
          STALE_EPOCH: The engine has seen a higher epoch.
          ORDER_FAILED: The engine could not carry it out.
        """
        ...

    async def close(self) -> None:
        """Closes the connections."""
        ...

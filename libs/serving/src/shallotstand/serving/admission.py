"""Decides when a request of a client account may be sent to an endpoint."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from shallotstand.core.failure import Failure


class AdmissionRequest(NamedTuple):
    """A request to be admitted.

    Attributes:
      service: Name of the service.
      account: Name of the client account that is charged.
      weight: Share weight of the account.
      cost: Expected number of tokens.
      priority: `interactive` or `rollout`.
      deadline: Monotonic time in seconds at which the answer is due.
      max_queue: Maximum number of waiting requests of the account.
      max_concurrency: Maximum number of the account's requests in progress; 0
        for no limit.
      tokens_per_second: Rate limit of the account; 0 for no limit.
    """

    service: str
    account: str
    weight: float
    cost: float
    priority: str
    deadline: float
    max_queue: int
    max_concurrency: int
    tokens_per_second: float


class ServedTokens(NamedTuple):
    """Tokens and current requests of one client account at one entry.

    Attributes:
      service: Name of the service.
      account: Name of the client account.
      tokens: Tokens served since the entry started.
      running: Number of requests in progress.
      waiting: Number of requests in the queue.
      weight: Share weight of the account.
    """

    service: str
    account: str
    tokens: int
    running: int
    waiting: int = 0
    weight: float = 1.0


class Permit(Protocol):
    """Permission to run one request."""

    def release(self, tokens: int) -> None:
        """Returns the permit after the request has ended.

        Args:
          tokens: Tokens that the request used; replaces the expected cost.
        """
        ...


class Admission(Protocol):
    """Admits requests in a fair order."""

    async def admit(self, request: AdmissionRequest) -> Permit | Failure:
        """Waits until the request may run.

        Cancelling the call removes the request from the queue.

        Errors:
          QUEUE_FULL: The client account's queue is full.
          RATE_LIMITED: The client account has exceeded its token rate.
          DEADLINE_UNREACHABLE: The queue is too long for the deadline.
          DEADLINE_PASSED: No slot became free before the deadline.
          NO_ENDPOINT: The service has had no live endpoint for too long.
        """
        ...

    def set_capacity(self, service: str, slots: int) -> None:
        """Sets how many requests the service's endpoints run at once.

        Args:
          service: Name of the service.
          slots: Number of requests, from all entries together.
        """
        ...

    def served_totals(self) -> tuple[ServedTokens, ...]:
        """Returns the totals of this entry, to be sent to the other entries."""
        ...

    def receive_served_totals(
        self, peer: str, incarnation: str, totals: Iterable[ServedTokens]
    ) -> None:
        """Applies the totals of another entry.

        Args:
          peer: Process id of the entry.
          incarnation: Incarnation of the entry; totals start from zero in each.
          totals: Totals of the entry; missing accounts are unchanged.
        """
        ...

    def forget_peer(self, peer: str) -> None:
        """Frees the share of an entry whose connection was lost."""
        ...

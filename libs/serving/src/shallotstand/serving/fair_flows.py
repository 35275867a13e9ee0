"""Flows and service queues for fair queueing."""

import asyncio
import itertools
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from shallotstand.core.failure import Failure
from shallotstand.serving.admission import AdmissionRequest
from shallotstand.serving.capacity import AccountDemand, slots_for_entry
from shallotstand.serving.rates import ThroughputEstimate, TokenBucket

INTERACTIVE_LEAD_S = 0.5
ROLLOUT_RATIO = 0.25
# A request whose deadline is nearer than its expected run time, multiplied by
# this factor, would hold a slot for an answer that comes too late.
RUN_TIME_MARGIN = 2.0
# A sidecar that lost its link reconnects within 7.5 s (5 s plus jitter) and
# reports its endpoints within another 0.5 s. An engine that is still missing
# after that is restarting, which takes too long to keep callers waiting.
NO_ENDPOINT_GRACE_S = 8.0
# Callers request more tokens than they use. This is the weight of a finished
# request in the moving average of the ratio of used to requested tokens.
_RATIO_SMOOTHING = 0.05
_PRIORITIES = ("interactive", "rollout")


class Waiter(NamedTuple):
    """A request in a queue.

    Attributes:
      request: The request.
      turn: Result of the wait: None if the request may run, else the failure.
    """

    request: AdmissionRequest
    turn: asyncio.Future[Failure | None]


class AccountState:
    """Usage of a client account, over all services.

    Attributes:
      running: Requests in progress at this entry.
      remote_running: Requests in progress at the other entries.
      bucket: Token bucket; None if the account has no rate limit.
    """

    def __init__(self) -> None:
        self.running = 0
        self.remote_running = 0
        self.bucket: TokenBucket | None = None

    def may_start(self, limit: int) -> bool:
        """Returns whether the concurrency limit allows one more request."""
        # One request per entry is always allowed. Otherwise requests at other
        # entries could shut out the account's callers at this entry.
        return (
            limit == 0
            or self.running == 0
            or self.running + self.remote_running < limit
        )


class Flow:
    """Requests of one client account for one service.

    Attributes:
      account: Usage of the account over all services.
      weight: Share weight of the account.
      virtual_time: Tokens charged to the flow, divided by its weight.
      served_tokens: Tokens served since the entry started.
      running: Requests in progress.
      rollout_credit: Tokens that rollouts may use before interactive requests.
      used_ratio: Moving average of used to requested tokens.
      queues_by_priority: Waiting requests by priority.
    """

    def __init__(self, account: AccountState) -> None:
        self.account = account
        self.weight = 1.0
        self.virtual_time = 0.0
        self.served_tokens = 0
        self.running = 0
        self.rollout_credit = 0.0
        self.used_ratio = 1.0
        self.queues_by_priority: dict[str, deque[Waiter]] = {
            name: deque() for name in _PRIORITIES
        }

    def update_used_ratio(self, cost: float, tokens: float) -> None:
        """Updates the ratio of used to requested tokens."""
        self.used_ratio = updated_ratio(self.used_ratio, cost, tokens)

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits.

        The first request of an idle account is never refused because of an
        estimate; otherwise a wrong estimate could never be corrected.
        """
        return not self.running and not self.waiting

    @property
    def waiting(self) -> int:
        """Number of requests in the queues."""
        return sum(map(len, self.queues_by_priority.values()))

    @property
    def waiting_tokens(self) -> float:
        """Expected tokens of the requests in the queues."""
        queues = self.queues_by_priority.values()
        return sum(w.request.cost for w in itertools.chain(*queues))

    @property
    def next_priority(self) -> str:
        """Priority whose first request is the next of the account."""
        interactive, rollout = (self.queues_by_priority[c] for c in _PRIORITIES)
        if not interactive:
            return "rollout"
        if rollout and self.rollout_credit >= rollout[0].request.cost:
            return "rollout"
        return "interactive"

    def can_start(self) -> bool:
        """Returns whether a request waits and the limits allow it to run."""
        if not self.waiting:
            return False
        head = self.queues_by_priority[self.next_priority][0]
        return self.account.may_start(head.request.max_concurrency)

    def dequeue(self) -> Waiter:
        """Removes the next request from its queue."""
        priority = self.next_priority
        waiter = self.queues_by_priority[priority].popleft()
        cost = waiter.request.cost
        if priority == "rollout":
            self.rollout_credit = max(0.0, self.rollout_credit - cost)
        elif self.queues_by_priority["rollout"]:
            self.rollout_credit += cost * ROLLOUT_RATIO / (1 - ROLLOUT_RATIO)
        return waiter


class ServiceQueue:
    """Flows of one service and the slots that they share.

    Attributes:
      no_endpoint_since: Monotonic time in seconds since which no endpoint has
        been live; None while one is live.
      grace_timer: Refuses the waiting requests if no endpoint becomes live.
      total_slots: Slots of the service for all entries.
      slots: Slots that this entry may fill.
      running: Requests in progress.
      virtual_time: Highest virtual time at which a flow was given a slot.
      used_ratio: Moving average of used to requested tokens of all accounts.
      throughput_estimate: Throughput from finished requests.
      flows_by_account: Flows by name of the client account.
    """

    def __init__(self, now: float) -> None:
        self.no_endpoint_since: float | None = now
        self.grace_timer: asyncio.TimerHandle | None = None
        self.total_slots = 0
        self.slots = 0
        self.running = 0
        self.virtual_time = 0.0
        self.used_ratio = 1.0
        self.throughput_estimate = ThroughputEstimate()
        self.flows_by_account: dict[str, Flow] = {}

    @property
    def throughput(self) -> float | None:
        """Tokens per second of this entry's slots; None while unknown."""
        return self.throughput_estimate.tokens_per_second(self.slots)

    def update_slots(self, others: Sequence[Sequence[AccountDemand]]) -> None:
        """Updates the slots that this entry may fill.

        Args:
          others: Accounts with requests at each other live entry.
        """
        own = [
            AccountDemand(name, flow.weight, flow.running, flow.waiting)
            for name, flow in self.flows_by_account.items()
            if flow.running or flow.waiting
        ]
        self.slots = slots_for_entry(self.total_slots, own, others)

    def set_total_slots(self, slots: int, now: float) -> None:
        """Sets the number of slots of all live endpoints."""
        self.total_slots = slots
        if slots == 0:
            if self.no_endpoint_since is None:
                self.no_endpoint_since = now
            return
        self.no_endpoint_since = None
        if self.grace_timer is not None:
            self.grace_timer.cancel()
            self.grace_timer = None

    def grace_left_s(self, now: float) -> float | None:
        """Returns the seconds that requests may still wait for an endpoint.

        Returns:
          None while an endpoint is live.
        """
        if self.no_endpoint_since is None:
            return None
        return max(0.0, self.no_endpoint_since + NO_ENDPOINT_GRACE_S - now)

    def dequeue_all(self) -> list[tuple[Flow, Waiter]]:
        """Removes all requests from the queues."""
        taken = []
        for flow in self.flows_by_account.values():
            for queue in flow.queues_by_priority.values():
                taken += [(flow, waiter) for waiter in queue]
                queue.clear()
        return taken

    def next_flow(self) -> Flow | None:
        """Returns the flow that gets the next free slot, if any can start."""
        ready = [f for f in self.flows_by_account.values() if f.can_start()]
        if not ready:
            return None
        lead = INTERACTIVE_LEAD_S * (self.throughput or 0.0)
        lead /= sum(flow.weight for flow in ready)
        return min(
            ready,
            key=lambda flow: (
                flow.virtual_time - lead
                if flow.next_priority == "interactive"
                else flow.virtual_time
            ),
        )

    def start(self, flow: Flow, request: AdmissionRequest) -> None:
        """Records the start of a request and charges its flow the cost."""
        self.virtual_time = max(self.virtual_time, flow.virtual_time)
        flow.virtual_time += request.cost / flow.weight
        flow.running += 1
        flow.account.running += 1
        self.running += 1

    def finish(
        self, flow: Flow, request: AdmissionRequest, tokens: float
    ) -> None:
        """Corrects the charge to the tokens used and frees the slot."""
        flow.virtual_time += (tokens - request.cost) / flow.weight
        flow.running -= 1
        flow.account.running -= 1
        self.running -= 1
        if flow.account.bucket is not None:
            flow.account.bucket.consume(tokens - request.cost)

    def expected_time_s(self, flow: Flow, request: AdmissionRequest) -> float:
        """Returns the seconds until the request's end; 0 while unknown.

        The tokens ahead of the request are the waiting tokens of its own
        account and, for each other account, the share that its weight entitles
        it to in that time.
        """
        throughput = self.throughput
        if not throughput or self.running < self.slots or flow.is_idle:
            return 0.0
        own_tokens = sum(
            w.request.cost for w in flow.queues_by_priority["interactive"]
        )
        if request.priority == "rollout":
            own_tokens = flow.waiting_tokens
        tokens_ahead = own_tokens + sum(
            min(
                other.waiting_tokens,
                (own_tokens + request.cost) * other.weight / flow.weight,
            )
            for other in self.flows_by_account.values()
            if other is not flow
        )
        return tokens_ahead / throughput + RUN_TIME_MARGIN * self.run_time_s(
            request
        )

    def run_time_s(self, request: AdmissionRequest) -> float:
        """Returns the run time of a request in seconds; 0 while unknown."""
        throughput = self.throughput
        return request.cost * self.slots / throughput if throughput else 0.0


def updated_ratio(ratio: float, cost: float, tokens: float) -> float:
    """Returns the ratio of used to requested tokens after a request.

    Args:
      ratio: Ratio before the request.
      cost: Tokens requested.
      tokens: Tokens used.
    """
    return ratio + _RATIO_SMOOTHING * (tokens / max(1.0, cost) - ratio)

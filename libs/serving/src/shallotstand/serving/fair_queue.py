"""Start-time fair queueing of requests among client accounts.

The requests of a client account for a service form a flow. Its virtual time is
the number of tokens served to it, divided by its weight. A free slot goes to
the waiting flow with the smallest virtual time. A flow that was idle starts at
the service's virtual time, so idle periods earn no credit and cost nothing.

Interactive requests go before rollouts: an account with a waiting interactive
request is preferred to accounts with waiting rollouts only, as long as its
virtual time is ahead of theirs by less than the tokens that the service
processes in `INTERACTIVE_LEAD_S`. Beyond that lead the account has used up its
share and the virtual times decide. Within one account interactive requests go
first, but waiting rollouts get `ROLLOUT_RATIO` of the account's tokens.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.serving.admission import (
    AdmissionRequest,
    Permit,
    ServedTokens,
)
from shallotstand.serving.capacity import AccountDemand
from shallotstand.serving.fair_flows import (
    RUN_TIME_MARGIN,
    AccountState,
    Flow,
    ServiceQueue,
    Waiter,
    updated_ratio,
)
from shallotstand.serving.rates import TokenBucket

# Tokens served by other entries raise a flow's virtual time by at most the
# tokens that the service processes in this time. Without the limit, an account
# that used capacity which no other account needed would get no slots for a long
# time afterwards.
REMOTE_LEAD_S = 2.0
# The same limit in tokens while the throughput is unknown.
_REMOTE_LEAD_TOKENS = 20_000.0


_DEADLINE_PASSED = Failure(
    ResultCode.DEADLINE_PASSED,
    "No slot became free early enough before the deadline.",
)
_NO_ENDPOINT = Failure(
    ResultCode.NO_ENDPOINT, "The service has no live endpoint."
)


class _FairPermit:
    """Permit that holds one slot of a service."""

    def __init__(
        self,
        admission: "FairAdmission",
        flow: Flow,
        request: AdmissionRequest,
        requested_tokens: float,
    ) -> None:
        """Initializes the permit.

        Args:
          admission: Admission that frees the slot on release.
          flow: Flow that was charged.
          request: The request, with the cost that was charged.
          requested_tokens: Cost before the account's `used_ratio` was applied.
        """
        self._requested_tokens = requested_tokens
        self._admission = admission
        self._flow = flow
        self._request = request
        self._started = admission.now()
        self._is_open = True

    def release(self, tokens: int) -> None:
        """Frees the slot; a second call does nothing."""
        if self._is_open:
            self._is_open = False
            if tokens > 0:
                self._flow.update_used_ratio(self._requested_tokens, tokens)
                self._admission.update_used_ratio(
                    self._request.service, self._requested_tokens, tokens
                )
            self._admission.finish(
                self._flow, self._request, tokens, self._started
            )


class FairAdmission:
    """Admits requests so that accounts get tokens in proportion to weight."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._queues_by_service: dict[str, ServiceQueue] = {}
        self._accounts_by_name: dict[str, AccountState] = {}
        self._totals_by_peer: dict[
            str, dict[tuple[str, str], ServedTokens]
        ] = {}
        self._live_peers: set[str] = set()
        self._incarnation_by_peer: dict[str, str] = {}

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._clock.monotonic()

    def set_capacity(self, service: str, slots: int) -> None:
        """Sets how many requests the service's endpoints run at once."""
        queue = self._queue(service)
        queue.set_total_slots(slots, self.now())
        self._update_slots(service)
        self._start_waiting_requests(queue)
        if any(flow.waiting for flow in queue.flows_by_account.values()):
            self._start_grace_timer(queue)

    async def admit(self, request: AdmissionRequest) -> Permit | Failure:
        """Waits until the request may run."""
        queue = self._queue(request.service)
        flow = self._flow(queue, request)
        requested_tokens = request.cost
        request = request._replace(cost=requested_tokens * flow.used_ratio)
        refusal = self._refusal(queue, flow, request)
        if refusal is not None:
            return refusal
        if not flow.waiting:
            flow.virtual_time = max(flow.virtual_time, queue.virtual_time)
        if flow.account.bucket is not None:
            flow.account.bucket.consume(request.cost)
        turn = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, turn)
        flow.queues_by_priority[request.priority].append(waiter)
        if flow.waiting == 1:
            self._update_slots(request.service)
        self._start_waiting_requests(queue)
        self._start_grace_timer(queue)
        try:
            async with asyncio.timeout(request.deadline - self.now()):
                refusal = await turn
        except TimeoutError:
            self._abandon(queue, flow, waiter)
            return _DEADLINE_PASSED
        except asyncio.CancelledError:
            self._abandon(queue, flow, waiter)
            raise
        if refusal is not None:
            return refusal
        return _FairPermit(self, flow, request, requested_tokens)

    def finish(
        self, flow: Flow, request: AdmissionRequest, tokens: int, started: float
    ) -> None:
        """Frees the slot of a permit; called by the permit only."""
        queue = self._queue(request.service)
        queue.finish(flow, request, tokens)
        flow.served_tokens += tokens
        if tokens > 0:
            queue.throughput_estimate.add(tokens, self.now() - started)
        self._start_requests_in_all_services()

    def update_used_ratio(
        self, service: str, cost: float, tokens: float
    ) -> None:
        """Updates the ratio that the flows of new accounts start with."""
        queue = self._queue(service)
        queue.used_ratio = updated_ratio(queue.used_ratio, cost, tokens)

    def served_totals(self) -> tuple[ServedTokens, ...]:
        """Returns the totals of this entry, to be sent to the other entries."""
        return tuple(
            ServedTokens(
                service,
                account,
                flow.served_tokens,
                flow.running,
                flow.waiting,
                flow.weight,
            )
            for service, queue in self._queues_by_service.items()
            for account, flow in queue.flows_by_account.items()
            if flow.served_tokens or flow.running or flow.waiting
        )

    def receive_served_totals(
        self, peer: str, incarnation: str, totals: Iterable[ServedTokens]
    ) -> None:
        """Applies the totals of another entry.

        Totals count from the peer's start, so the next message makes up for a
        lost one. The first totals of an incarnation only set the baseline.
        """
        same_incarnation = self._incarnation_by_peer.get(peer) == incarnation
        if not same_incarnation:
            self._totals_by_peer[peer] = {}
        self._incarnation_by_peer[peer] = incarnation
        self._live_peers.add(peer)
        known_totals = self._totals_by_peer[peer]
        for total in totals:
            key = (total.service, total.account)
            tokens = total.tokens - (
                known_totals[key].tokens if key in known_totals else 0
            )
            known_totals[key] = total
            if same_incarnation and tokens > 0:
                self._charge_remote(total, tokens)
        self._apply_peer_totals()

    def forget_peer(self, peer: str) -> None:
        """Frees the share of an entry whose connection was lost.

        The totals of the entry are kept, as the same incarnation may reconnect.
        """
        self._live_peers.discard(peer)
        self._apply_peer_totals()

    def _apply_peer_totals(self) -> None:
        """Applies the totals of the live peers to limits and slots."""
        running = Counter()
        for peer in self._live_peers:
            for total in self._totals_by_peer[peer].values():
                running[total.account] += total.running
        for name, account in self._accounts_by_name.items():
            account.remote_running = running[name]
        for service in self._queues_by_service:
            self._update_slots(service)
        self._start_requests_in_all_services()

    def _update_slots(self, service: str) -> None:
        others = [
            [
                AccountDemand(t.account, t.weight, t.running, t.waiting)
                for t in self._totals_by_peer[peer].values()
                if t.service == service and (t.running or t.waiting)
            ]
            for peer in self._live_peers
        ]
        self._queue(service).update_slots(others)

    def _charge_remote(self, total: ServedTokens, tokens: int) -> None:
        account = self._accounts_by_name.get(total.account)
        if account is not None and account.bucket is not None:
            account.bucket.consume(tokens)
        queue = self._queue(total.service)
        flow = queue.flows_by_account.get(total.account)
        if flow is None:
            return  # the weight is unknown until this entry gets a request
        base = max(flow.virtual_time, queue.virtual_time)
        lead_tokens = (
            REMOTE_LEAD_S * (queue.throughput or 0.0) or _REMOTE_LEAD_TOKENS
        )
        limit = max(base, queue.virtual_time + lead_tokens / flow.weight)
        flow.virtual_time = min(base + tokens / flow.weight, limit)

    def _refusal(
        self, queue: ServiceQueue, flow: Flow, request: AdmissionRequest
    ) -> Failure | None:
        if flow.waiting >= request.max_queue:
            return Failure(
                ResultCode.QUEUE_FULL,
                "The queue of the client account is full.",
            )
        now = self.now()
        if queue.grace_left_s(now) == 0:
            return _NO_ENDPOINT
        if request.deadline <= now:
            return Failure(
                ResultCode.DEADLINE_PASSED, "The deadline has passed."
            )
        bucket = flow.account.bucket
        if bucket is not None and not bucket.has_tokens(now):
            return Failure(
                ResultCode.RATE_LIMITED,
                "The client account has exceeded its token rate.",
            )
        if now + queue.expected_time_s(flow, request) > request.deadline:
            return Failure(
                ResultCode.DEADLINE_UNREACHABLE,
                "The request would not finish before its deadline.",
            )
        return None

    def _abandon(self, queue: ServiceQueue, flow: Flow, waiter: Waiter) -> None:
        """Removes a request whose wait ended without a permit."""
        waiting = flow.queues_by_priority[waiter.request.priority]
        if waiter in waiting:
            waiting.remove(waiter)
            if flow.account.bucket is not None:
                flow.account.bucket.consume(-waiter.request.cost)
        elif waiter.turn.done() and not waiter.turn.cancelled():
            if waiter.turn.result() is not None:
                return
            # The request was given a slot just before its wait ended.
            queue.finish(flow, waiter.request, 0)
        self._start_requests_in_all_services()

    def _start_grace_timer(self, queue: ServiceQueue) -> None:
        """Starts the timer that refuses requests unless an endpoint appears."""
        left_s = queue.grace_left_s(self.now())
        if left_s is None or queue.grace_timer is not None:
            return
        loop = asyncio.get_running_loop()
        queue.grace_timer = loop.call_later(
            left_s, self._handle_grace_timeout, queue
        )

    def _handle_grace_timeout(self, queue: ServiceQueue) -> None:
        queue.grace_timer = None
        for flow, waiter in queue.dequeue_all():
            if waiter.turn.done():
                continue  # cancelled; its task handles the end of the wait
            if flow.account.bucket is not None:
                flow.account.bucket.consume(-waiter.request.cost)
            waiter.turn.set_result(_NO_ENDPOINT)

    def _start_requests_in_all_services(self) -> None:
        # Concurrency limits span services, so a slot freed in one service may
        # allow a request to start in another.
        for queue in self._queues_by_service.values():
            self._start_waiting_requests(queue)

    def _start_waiting_requests(self, queue: ServiceQueue) -> None:
        while queue.running < queue.slots:
            flow = queue.next_flow()
            if flow is None:
                return
            waiter = flow.dequeue()
            if waiter.turn.done():
                continue  # cancelled; its task handles the end of the wait
            run_s = RUN_TIME_MARGIN * queue.run_time_s(waiter.request)
            in_time = (
                not flow.running
                or self.now() + run_s <= waiter.request.deadline
            )
            if in_time:
                queue.start(flow, waiter.request)
            elif flow.account.bucket is not None:
                flow.account.bucket.consume(-waiter.request.cost)
            waiter.turn.set_result(None if in_time else _DEADLINE_PASSED)

    def _flow(self, queue: ServiceQueue, request: AdmissionRequest) -> Flow:
        account = self._accounts_by_name.setdefault(
            request.account, AccountState()
        )
        flow = queue.flows_by_account.get(request.account)
        if flow is None:
            flow = queue.flows_by_account[request.account] = Flow(account)
            flow.virtual_time = queue.virtual_time
            flow.used_ratio = queue.used_ratio
        flow.weight = max(request.weight, 1e-6)
        rate = request.tokens_per_second
        if rate <= 0:
            account.bucket = None
        elif account.bucket is None:
            account.bucket = TokenBucket(rate, self.now())
        else:
            account.bucket.set_rate(rate)
        return flow

    def _queue(self, service: str) -> ServiceQueue:
        return self._queues_by_service.setdefault(
            service, ServiceQueue(self.now())
        )

"""First-come, first-served admission: the baseline for fair admission."""

import asyncio
from collections import deque
from collections.abc import Iterable

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.serving.admission import (
    AdmissionRequest,
    Permit,
    ServedTokens,
)


class _ServiceQueue:
    """Running and waiting requests of one service."""

    def __init__(self) -> None:
        self.slots = 0
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()

    def start_waiting_requests(self) -> None:
        """Starts waiting requests while there are free slots."""
        while self.waiting and self.running < self.slots:
            turn = self.waiting.popleft()
            if not turn.done():
                self.running += 1
                turn.set_result(None)

    def abandon(self, turn: asyncio.Future[None]) -> None:
        """Removes a request whose wait ended without a permit."""
        if turn in self.waiting:
            self.waiting.remove(turn)
        elif turn.done() and not turn.cancelled():
            # The request was given a slot just before its wait ended.
            self.running -= 1
            self.start_waiting_requests()


class _SlotPermit:
    """Permit that holds one slot of a service."""

    def __init__(self, queue: _ServiceQueue):
        self._queue = queue

    def release(self, tokens: int) -> None:  # noqa: ARG002
        """Frees the slot."""
        self._queue.running -= 1
        self._queue.start_waiting_requests()


class FirstComeAdmission:
    """Admits requests of a service in the order of their arrival."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._queues_by_service: dict[str, _ServiceQueue] = {}

    def set_capacity(self, service: str, slots: int) -> None:
        """Sets how many requests the service's endpoints run at once."""
        queue = self._queue(service)
        queue.slots = slots
        queue.start_waiting_requests()

    async def admit(self, request: AdmissionRequest) -> Permit | Failure:
        """Waits for a free slot."""
        queue = self._queue(request.service)
        if len(queue.waiting) >= request.max_queue:
            return Failure(
                ResultCode.QUEUE_FULL, "The queue of the service is full."
            )
        turn = asyncio.get_running_loop().create_future()
        queue.waiting.append(turn)
        queue.start_waiting_requests()
        time_left_s = request.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(time_left_s):
                await turn
        except TimeoutError:
            queue.abandon(turn)
            return Failure(
                ResultCode.DEADLINE_PASSED,
                "No slot became free before the deadline.",
            )
        except asyncio.CancelledError:
            queue.abandon(turn)
            raise
        return _SlotPermit(queue)

    def served_totals(self) -> tuple[ServedTokens, ...]:
        """Returns no totals: arrival order needs no shares."""
        return ()

    def receive_served_totals(
        self, peer: str, incarnation: str, totals: Iterable[ServedTokens]
    ) -> None:
        """Does nothing: the order of arrival needs no shares."""

    def forget_peer(self, peer: str) -> None:
        """Does nothing: the order of arrival needs no shares."""

    def _queue(self, service: str) -> _ServiceQueue:
        return self._queues_by_service.setdefault(service, _ServiceQueue())

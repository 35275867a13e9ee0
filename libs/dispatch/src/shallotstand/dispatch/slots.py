"""Gives the slots of engines to the items that wait, the most urgent first."""

import asyncio
import heapq
import itertools
from typing import NamedTuple

from shallotstand.dispatch.endpoints import Endpoint, EndpointBook


class Need(NamedTuple):
    """What an item needs of an engine.

    Attributes:
      service: Service whose engines may run it.
      model: Model that it runs on; empty if any.
      min_version: Oldest version of the weights that may run it.
      rank: Order among the items that wait; the lowest goes first.
      avoided: Engine that it has just failed at; used if there is no other.
    """

    service: str
    model: str
    min_version: int
    rank: tuple[float, ...]
    avoided: str = ""


class SlotPool:
    """Slots of all engines, as far as this process fills them."""

    def __init__(self, book: EndpointBook):
        self._book = book
        self._numbers = itertools.count()
        self._waiting: list[tuple[tuple, int, Need, asyncio.Future]] = []
        self._timer: asyncio.TimerHandle | None = None
        book.subscribe(self.assign)

    @property
    def waiting(self) -> int:
        """Number of items that wait."""
        return len(self._waiting)

    async def acquire(self, need: Need) -> Endpoint:
        """Waits for a free slot; the caller ends it with `book.end`."""
        future = asyncio.get_running_loop().create_future()
        entry = (need.rank, next(self._numbers), need, future)
        heapq.heappush(self._waiting, entry)
        self.assign()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._book.end(future.result())
            raise

    def fastest_pace(self, need: Need, endpoint: Endpoint) -> float | None:
        """Returns the pace of the fastest other engine with a free slot.

        Args:
          need: What the item needs.
          endpoint: The engine where it runs.

        Returns:
          Seconds for an event; None if no such engine's pace is known.
        """
        paces_s = (
            self._book.pace(other)
            for other in self._usable(need)
            if other.id != endpoint.id
        )
        return min(
            (pace_s for pace_s in paces_s if pace_s is not None), default=None
        )

    def assign(self) -> None:
        """Gives free slots to items that wait."""
        kept = []
        while self._waiting:
            entry = heapq.heappop(self._waiting)
            _, _, need, future = entry
            if future.done():
                continue
            endpoint = self._choose(need)
            if endpoint is None:
                kept.append(entry)
                continue
            self._book.begin(endpoint, need.model)
            future.set_result(endpoint)
        self._waiting = kept
        heapq.heapify(self._waiting)
        self._set_timer()

    def _set_timer(self) -> None:
        """Looks again when the pause of an engine after a failure ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        services = {need.service for _, _, need, _ in self._waiting}
        pauses = [
            pause
            for pause in map(self._book.reopens_in_s, services)
            if pause is not None
        ]
        if pauses:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(min(pauses) + 0.005, self.assign)

    def _choose(self, need: Need) -> Endpoint | None:
        usable = self._usable(need)
        others = [
            endpoint for endpoint in usable if endpoint.id != need.avoided
        ]
        return next(iter(others or usable), None)

    def _usable(self, need: Need) -> list[Endpoint]:
        """Returns the engines with a free slot for an item, the best first."""
        return [
            endpoint
            for endpoint in self._book.candidates(
                need.service, model=need.model
            )
            if self._book.free_slots(endpoint) > 0
            and (
                not need.model
                or self._book.version(endpoint, need.model) >= need.min_version
            )
        ]

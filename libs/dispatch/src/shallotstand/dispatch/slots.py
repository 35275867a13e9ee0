"""Assigns free slots of endpoints to batch items, the most urgent first."""

import asyncio
import collections
import heapq
import itertools
import math
from typing import NamedTuple

from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_health import DEFAULT_WORK_S
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.ranking import EndpointRanking, SpeedRanking

# Delay of an assignment after a peer has reported its use of endpoints. The
# registry may show such reports up to 0.05 s late.
ASSIGNMENT_DELAY_S = 0.06
_SPEED_RANKING = SpeedRanking()


class _Need(NamedTuple):
    """Items with the same need can run on the same endpoints."""

    service: str
    model: str
    min_version: int
    software_version: str | None
    allowed_regions: frozenset[str] | None


class ResourceRequest(NamedTuple):
    """What a batch item requires of an endpoint.

    Attributes:
      service: Service whose endpoints may run it.
      model: Model that the endpoint must serve; empty if any.
      min_version: Lowest acceptable version of the weights.
      rank: Rank among the waiting items; the lowest gets a slot first.
      avoided_endpoint_id: Identifier of the endpoint that the item has just
        left, for example after a failure; it is chosen only if no other
        endpoint has a free slot. Empty if no attempt has ended yet.
      software_version: Software version of the endpoint that generated the
        text so far, which no other version can continue; None if there is no
        text yet.
      allowed_regions: Regions that may run it; None if any may.
      expected_units: Units of work that it is expected to need: events that
        are still to come; infinite if unknown.
    """

    service: str
    model: str
    min_version: int
    rank: tuple[float, ...]
    avoided_endpoint_id: str = ""
    software_version: str | None = None
    allowed_regions: frozenset[str] | None = None
    expected_units: float = 0.0

    @property
    def need(self) -> _Need:
        """The requirements that decide which endpoints are usable."""
        return _Need(
            self.service,
            self.model,
            self.min_version,
            self.software_version,
            self.allowed_regions,
        )


class SlotPool:
    """Assigns slots of all endpoints to the waiting items of this process."""

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        ranking: EndpointRanking = _SPEED_RANKING,
    ):
        self._endpoint_registry = endpoint_registry
        self._ranking = ranking
        self._sequence = itertools.count()
        self._waiters: list[
            tuple[tuple, int, ResourceRequest, asyncio.Future]
        ] = []
        self._retry_timer: asyncio.TimerHandle | None = None
        self._assignment_timer: asyncio.TimerHandle | None = None
        endpoint_registry.subscribe(self.assign_free_slots)

    @property
    def waiting(self) -> int:
        """Number of waiting items."""
        return len(self._waiters)

    async def acquire(self, resource_request: ResourceRequest) -> Endpoint:
        """Waits for a slot and reserves it.

        The slot must be released with `EndpointRegistry.record_request_end`.
        """
        future = asyncio.get_running_loop().create_future()
        entry = (
            resource_request.rank,
            next(self._sequence),
            resource_request,
            future,
        )
        heapq.heappush(self._waiters, entry)
        self.assign_free_slots()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._endpoint_registry.record_request_end(future.result())
            raise

    def min_seconds_per_unit(
        self, resource_request: ResourceRequest, endpoint: Endpoint
    ) -> float | None:
        """Returns the seconds per unit of the fastest other free endpoint.

        Args:
          resource_request: The item's requirements.
          endpoint: The endpoint on which the item runs now.

        Returns:
          The lowest value of the other endpoints with a free slot; None if it
          is unknown for all of them. Endpoints that state a limit are left
          out, since items that run nowhere need their shares.
        """
        measured = (
            self._endpoint_registry.seconds_per_unit(other)
            for other in self._usable_endpoints(resource_request, waiting=0)
            if other.id != endpoint.id
        )
        return min(
            (seconds for seconds in measured if seconds is not None),
            default=None,
        )

    def schedule_assignment(self) -> None:
        """Assigns free slots soon; calls in quick succession cost one pass."""
        if self._waiters and self._assignment_timer is None:
            self._assignment_timer = asyncio.get_running_loop().call_later(
                ASSIGNMENT_DELAY_S, self.assign_free_slots
            )

    def assign_free_slots(self) -> None:
        """Assigns free slots to waiting items in order of their ranks."""
        if self._assignment_timer is not None:
            self._assignment_timer.cancel()
            self._assignment_timer = None
        still_waiting = []
        endpoints_by_need: dict[_Need, list[Endpoint]] = {}
        waiting_by_need = collections.Counter(
            resource_request.need
            for _, _, resource_request, future in self._waiters
            if not future.done()
        )
        while self._waiters:
            entry = heapq.heappop(self._waiters)
            _, _, resource_request, future = entry
            if future.done():
                continue
            need = resource_request.need
            if need not in endpoints_by_need:
                endpoints_by_need[need] = self._usable_endpoints(
                    resource_request,
                    waiting_by_need[need],
                )
            if not endpoints_by_need[need]:
                still_waiting.append(entry)
                continue
            endpoint = _pick_endpoint(
                endpoints_by_need[need], resource_request.avoided_endpoint_id
            )
            self._endpoint_registry.record_request_start(
                endpoint,
                resource_request.model,
                self._expected_s(endpoint, resource_request),
            )
            future.set_result(endpoint)
            waiting_by_need[need] -= 1
            # The endpoint may be full now, and its cost has changed. Where no
            # endpoint was usable, none is usable now.
            endpoints_by_need = {
                need: [] for need, left in endpoints_by_need.items() if not left
            }
        # Sorted entries form a heap.
        self._waiters = still_waiting
        self._schedule_retry()

    def _expected_s(
        self, endpoint: Endpoint, resource_request: ResourceRequest
    ) -> float:
        """Returns the seconds that an item is likely to take at an endpoint."""
        seconds_per_unit = self._endpoint_registry.seconds_per_unit(endpoint)
        if seconds_per_unit is None or not resource_request.expected_units:
            return DEFAULT_WORK_S
        expected_s = resource_request.expected_units * seconds_per_unit
        return expected_s if math.isfinite(expected_s) else DEFAULT_WORK_S

    def _schedule_retry(self) -> None:
        """Schedules a new assignment for the end of the next backoff."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        services = {
            resource_request.service
            for _, _, resource_request, _ in self._waiters
        }
        delays_s = [
            delay_s
            for delay_s in map(
                self._endpoint_registry.next_retry_in_s, services
            )
            if delay_s is not None
        ]
        if delays_s:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(
                min(delays_s) + 0.005, self.assign_free_slots
            )

    def _usable_endpoints(
        self, resource_request: ResourceRequest, waiting: int
    ) -> list[Endpoint]:
        """Returns endpoints with a free slot for an item, the best first."""
        return self._endpoint_registry.candidates(
            resource_request.service,
            model=resource_request.model,
            ranking=self._ranking,
            waiting=waiting,
            is_usable=lambda endpoint: self._can_run(
                endpoint, resource_request
            ),
            regions=resource_request.allowed_regions,
        )

    def _can_run(
        self, endpoint: Endpoint, resource_request: ResourceRequest
    ) -> bool:
        """Returns whether an endpoint has a slot and an item's versions."""
        if resource_request.software_version not in (
            None,
            endpoint.software_version,
        ):
            return False
        return self._endpoint_registry.free_slots(endpoint) > 0 and (
            not resource_request.model
            or self._endpoint_registry.model_version(
                endpoint, resource_request.model
            )
            >= resource_request.min_version
        )


def _pick_endpoint(
    usable: list[Endpoint], avoided_endpoint_id: str
) -> Endpoint:
    """Returns the best endpoint, if possible another than the avoided one."""
    return next(
        (endpoint for endpoint in usable if endpoint.id != avoided_endpoint_id),
        usable[0],
    )

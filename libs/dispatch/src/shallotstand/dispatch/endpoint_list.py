"""The endpoints that are registered, and which of them accept requests.

The pattern of load: hundreds of processes choose among thousands of endpoints
for each request. Each process therefore has an order of its own of the
endpoints of a service, by rendezvous hashing, and looks at the first of them
only, at more if these can take nothing. This bounds the time of a choice, the
connections of a process, and what processes tell each other.
"""

import bisect
import itertools
from collections.abc import Callable, Iterator, Mapping

from absl import logging
from shallotstand.core import logs, rendezvous
from shallotstand.core.clock import Clock
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.leaving_endpoints import LeavingEndpoints
from shallotstand.dispatch.zone_limits import ZoneLimits

# Services with more endpoints than this are looked at in parts.
MAX_WHOLE_SERVICE = 96
# Endpoints in each part, and the number of parts that a choice looks at.
PART_SIZE = 64
MAX_PARTS = 4


class EndpointList:
    """The registered endpoints.

    Attributes:
      by_id: Every registered endpoint by its identifier.
      leaving: What endpoints say in their responses of leaving.
      zone_limits: Zones and regions whose endpoints may get requests.
    """

    def __init__(
        self,
        process_id: str,
        region_by_zone: Mapping[str, str],
        clock: Clock,
        on_removal: Callable[[str], None],
    ):
        """Creates an empty list.

        Args:
          process_id: Identifier of this process, which decides its order of
            the endpoints.
          region_by_zone: Region of each availability zone.
          clock: Source of time.
          on_removal: Called with the identifier of an endpoint that is gone.
        """
        self._process_id = process_id
        self._clock = clock
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._order_by_service: dict[str, list[tuple[bytes, str]]] = {}
        self._on_removal = on_removal
        self._expires_at_by_id: dict[str, float] = {}
        self.by_id: dict[str, Endpoint] = {}
        self.leaving = LeavingEndpoints(clock)
        self.zone_limits = ZoneLimits(region_by_zone)

    def put(self, endpoint: Endpoint) -> Endpoint | None:
        """Adds or updates an endpoint; returns what was registered before."""
        previous = self.by_id.get(endpoint.id)
        self._expires_at_by_id.pop(endpoint.id, None)
        if previous is not None and previous.service != endpoint.service:
            self._remove_from_service(previous)
            previous = None
        self.by_id[endpoint.id] = endpoint
        members = self._by_service.setdefault(endpoint.service, {})
        if endpoint.id not in members:
            bisect.insort(
                self._order_by_service.setdefault(endpoint.service, []),
                self._position(endpoint.id),
            )
        members[endpoint.id] = endpoint
        if previous is None or previous.identity != endpoint.identity:
            logs.event(
                logging.INFO,
                "Endpoint listed",
                endpoint=endpoint.id,
                service=endpoint.service,
                zone=endpoint.zone,
                leaving=endpoint.is_leaving,
                software_version=endpoint.software_version,
                started_ms=endpoint.started_ms,
            )
        return previous

    def remove(self, endpoint_id: str, keep_until: float) -> None:
        """Removes an endpoint, at once or later.

        Args:
          endpoint_id: The endpoint.
          keep_until: Monotonic time in seconds until which it remains in use.
        """
        if endpoint_id not in self.by_id:
            return
        if keep_until > self._clock.monotonic():
            self._expires_at_by_id[endpoint_id] = keep_until
            return
        self._delete(endpoint_id)

    def active(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[Endpoint]:
        """Returns the endpoints of a service that accept new requests.

        If all of them have just said that they leave, these are returned.

        Args:
          service: The service.
          regions: Regions that may run the requests; None if any may.
        """
        self._delete_expired()
        listed = [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if not endpoint.is_leaving
            and self.zone_limits.allows(endpoint, regions)
        ]
        return [
            endpoint
            for endpoint in listed
            if not self.leaving.has_said(endpoint)
        ] or list(filter(self.leaving.is_last_resort, listed))

    def parts(
        self, service: str, regions: frozenset[str] | None = None
    ) -> Iterator[list[Endpoint]]:
        """Yields the endpoints that this process chooses from, in parts.

        A service with few endpoints is one part.

        Args:
          service: The service.
          regions: Regions that may run the requests; None if any may.
        """
        members = self._by_service.get(service, {})
        if len(members) <= MAX_WHOLE_SERVICE:
            yield self.active(service, regions)
            return
        self._delete_expired()
        accepting = (
            endpoint
            for endpoint in (
                members[endpoint_id]
                for _, endpoint_id in list(self._order_by_service[service])
            )
            if not self.is_leaving(endpoint)
            and self.zone_limits.allows(endpoint, regions)
        )
        for _ in range(MAX_PARTS):
            part = list(itertools.islice(accepting, PART_SIZE))
            if not part:
                return
            yield part

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint leaves by its entry or its responses."""
        return endpoint.is_leaving or self.leaving.has_said(endpoint)

    def _delete_expired(self) -> None:
        if not self._expires_at_by_id:
            return
        now = self._clock.monotonic()
        for endpoint_id, expires_at in list(self._expires_at_by_id.items()):
            if expires_at <= now:
                self._delete(endpoint_id)

    def _delete(self, endpoint_id: str) -> None:
        self._expires_at_by_id.pop(endpoint_id, None)
        endpoint = self.by_id.pop(endpoint_id, None)
        if endpoint is not None:
            self._remove_from_service(endpoint)
        self._on_removal(endpoint_id)
        logs.event(logging.INFO, "Endpoint gone", endpoint=endpoint_id)

    def _remove_from_service(self, endpoint: Endpoint) -> None:
        del self._by_service[endpoint.service][endpoint.id]
        self._order_by_service[endpoint.service].remove(
            self._position(endpoint.id)
        )

    def _position(self, endpoint_id: str) -> tuple[bytes, str]:
        return rendezvous.weight(endpoint_id, self._process_id), endpoint_id

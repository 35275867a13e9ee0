"""The endpoints that are registered, and which of them accept requests."""

from collections.abc import Callable, Mapping

from shallotstand.core.clock import Clock
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.leaving_endpoints import LeavingEndpoints
from shallotstand.dispatch.zone_limits import ZoneLimits


class EndpointList:
    """The registered endpoints.

    Attributes:
      by_id: Every registered endpoint by its identifier.
      leaving: What endpoints say in their responses of leaving.
      zone_limits: Zones and regions whose endpoints may get requests.
    """

    def __init__(
        self,
        region_by_zone: Mapping[str, str],
        clock: Clock,
        on_removal: Callable[[str], None],
    ):
        """Creates an empty list.

        Args:
          region_by_zone: Region of each availability zone.
          clock: Source of time.
          on_removal: Called with the identifier of an endpoint that is gone.
        """
        self._clock = clock
        self._on_removal = on_removal
        self._expires_at_by_id: dict[str, float] = {}
        self.by_id: dict[str, Endpoint] = {}
        self.leaving = LeavingEndpoints(clock)
        self.zone_limits = ZoneLimits(region_by_zone)

    def put(self, endpoint: Endpoint) -> Endpoint | None:
        """Adds or updates an endpoint; returns what was registered before."""
        previous = self.by_id.get(endpoint.id)
        self._expires_at_by_id.pop(endpoint.id, None)
        self.by_id[endpoint.id] = endpoint
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
            for endpoint in self.by_id.values()
            if endpoint.service == service
            and not endpoint.is_leaving
            and self.zone_limits.allows(endpoint, regions)
        ]
        return [
            endpoint
            for endpoint in listed
            if not self.leaving.has_said(endpoint)
        ] or list(filter(self.leaving.is_last_resort, listed))

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
        self.by_id.pop(endpoint_id, None)
        self._on_removal(endpoint_id)

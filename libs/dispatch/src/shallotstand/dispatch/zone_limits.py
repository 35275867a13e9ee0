"""Availability zones and regions whose endpoints may get requests."""

from collections.abc import Mapping

from absl import logging
from shallotstand.core import logs
from shallotstand.dispatch.endpoint import Endpoint


class ZoneLimits:
    """Where requests may run.

    Operators have zones evacuated, and limit the requests of routes and client
    accounts to regions.
    """

    def __init__(self, region_by_zone: Mapping[str, str]):
        self._region_by_zone = region_by_zone
        self._evacuated_zones: set[str] = set()

    def begin_evacuation(self, zone: str) -> None:
        """Sends nothing more to the endpoints of a zone."""
        if zone in self._evacuated_zones:
            return
        self._evacuated_zones.add(zone)
        logs.event(logging.INFO, "Zone is evacuated", zone=zone)

    def end_evacuation(self, zone: str) -> None:
        """Lets the endpoints of a zone get requests again."""
        self._evacuated_zones.discard(zone)
        logs.event(logging.INFO, "Zone is in use again", zone=zone)

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Returns whether nothing may be sent to an endpoint."""
        return endpoint.zone in self._evacuated_zones

    def allows(
        self, endpoint: Endpoint, regions: frozenset[str] | None
    ) -> bool:
        """Returns whether an endpoint may get a request.

        Args:
          endpoint: The endpoint.
          regions: Regions that may run the request; None if any may. An
            endpoint whose region is unknown gets none that is limited.
        """
        return not self.is_evacuated(endpoint) and (
            regions is None
            or self._region_by_zone.get(endpoint.zone) in regions
        )

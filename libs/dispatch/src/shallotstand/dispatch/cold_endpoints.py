"""Endpoints that are cold: slow after their start, and easily overloaded.

A cold endpoint accepts only a few requests a second from all processes
together, and crashes if it gets many more.
"""

from collections.abc import Mapping
from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.dispatch.endpoint import Endpoint

# An endpoint whose zone is in use again counts as cold for this long, since it
# may have become cold and its entry may not say so yet. Endpoints write their
# entries about once a second, and changes are known within two seconds.
ASSUMED_COLD_S = 3.0


class _ColdSpan(NamedTuple):
    service: str
    ends_at: float


class ColdEndpoints:
    """The endpoints that are cold, and what they accept until they are warm."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._requests_per_s_by_service: Mapping[str, float] = {}
        self._stated_by_id: dict[str, _ColdSpan] = {}
        self._assumed_by_id: dict[str, _ColdSpan] = {}

    def set_rates(self, requests_per_s_by_service: Mapping[str, float]) -> None:
        """Sets what a cold endpoint of each service accepts.

        Args:
          requests_per_s_by_service: Requests per second from all processes
            together; services without one have no cold endpoints.
        """
        self._requests_per_s_by_service = requests_per_s_by_service

    def has_rate(self, service: str) -> bool:
        """Returns whether endpoints of a service can be cold."""
        return service in self._requests_per_s_by_service

    def record_entry(self, endpoint: Endpoint) -> None:
        """Records what the entry of an endpoint says."""
        was_cold = self.requests_per_s(endpoint.id) is not None
        if endpoint.cold_remaining_s > 0:
            self._stated_by_id[endpoint.id] = self._span(
                endpoint, endpoint.cold_remaining_s
            )
        else:
            self._stated_by_id.pop(endpoint.id, None)
        if was_cold or self.requests_per_s(endpoint.id) is None:
            return
        self._log(endpoint, endpoint.cold_remaining_s, "entry")

    def assume(self, endpoint: Endpoint) -> None:
        """Treats an endpoint as cold for a while, whatever its entry says."""
        if self.has_rate(endpoint.service):
            self._assumed_by_id[endpoint.id] = self._span(
                endpoint, ASSUMED_COLD_S
            )
            self._log(endpoint, ASSUMED_COLD_S, "zone in use again")

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint."""
        self._stated_by_id.pop(endpoint_id, None)
        self._assumed_by_id.pop(endpoint_id, None)

    def requests_per_s(self, endpoint_id: str) -> float | None:
        """Returns what a cold endpoint accepts; None if it is warm."""
        for spans_by_id in (self._stated_by_id, self._assumed_by_id):
            span = spans_by_id.get(endpoint_id)
            if span is None:
                continue
            if span.ends_at > self._clock.monotonic():
                return self._requests_per_s_by_service.get(span.service)
            del spans_by_id[endpoint_id]
        return None

    def _span(self, endpoint: Endpoint, duration_s: float) -> _ColdSpan:
        return _ColdSpan(endpoint.service, self._clock.monotonic() + duration_s)

    def _log(self, endpoint: Endpoint, remaining_s: float, source: str) -> None:
        logs.event(
            logging.INFO,
            "Endpoint is cold",
            endpoint=endpoint.id,
            service=endpoint.service,
            started_ms=endpoint.started_ms,
            remaining_s=round(remaining_s, 3),
            requests_per_s=self._requests_per_s_by_service.get(
                endpoint.service
            ),
            source=source,
        )

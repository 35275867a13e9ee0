"""The endpoints of all services, as seen by one process."""

import collections
import itertools
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.dispatch.cold_endpoints import ColdEndpoints
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_health import (
    DEFAULT_WORK_S,
    EndpointHealth,
)
from shallotstand.dispatch.endpoint_list import EndpointList
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.ranking import (
    EndpointRanking,
    EndpointView,
    WorkRanking,
)
from shallotstand.dispatch.request_shares import PeerShares, RequestShares

# Time after an outage of the store for which endpoints with an expired
# registration stay in use. They register again within about two seconds, and
# the watch reports this a little later.
EXPIRY_GRACE_S = 2.3
# A local measurement older than this is replaced by a peer's, if there is one.
MEASUREMENT_MAX_AGE_S = 1.0

_WORK_RANKING = WorkRanking()
_UNUSED = EndpointState(0)


class EndpointRegistry:
    """The registered endpoints, with their load and health.

    Implements `EndpointObserver`.

    Attributes:
      by_id: Every registered endpoint by its identifier.
      request_shares: This process's shares of the limits that endpoints state.
      leaving: What endpoints say in their responses of leaving.
      cold: The endpoints that are cold.
      zone_limits: Zones and regions whose endpoints may get requests.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        process_id: str = "",
        region_by_zone: Mapping[str, str] = MappingProxyType({}),
    ):
        """Creates an empty registry.

        Args:
          zone: Availability zone of this process.
          clock: Source of time.
          process_id: Identifier that tells this process from its peers.
          region_by_zone: Region of each availability zone.
        """
        self._zone = zone
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self._health_by_id: dict[str, EndpointHealth] = collections.defaultdict(
            EndpointHealth
        )
        self._fetch_peer_states: Callable[[], dict[str, EndpointState]] = dict
        self._list = EndpointList(
            process_id, region_by_zone, clock, self._forget
        )
        # Endpoints that may have something to tell peers of.
        self._used_ids: set[str] = set()
        self.by_id = self._list.by_id
        self.leaving = self._list.leaving
        self.zone_limits = self._list.zone_limits
        self.cold = ColdEndpoints(clock)
        self.request_shares = RequestShares(
            process_id, clock, self.cold.requests_per_s
        )
        self.request_shares.set_peer_shares_source(
            lambda endpoint_id: self._peer_state(endpoint_id).shares
        )

    def set_peer_states_source(
        self, source: Callable[[], dict[str, EndpointState]]
    ) -> None:
        """Sets the function that returns the peers' states by endpoint."""
        self._fetch_peer_states = source

    def local_states_by_id(self) -> dict[str, EndpointState]:
        """Returns this process's states of the endpoints that it uses."""
        now = self._clock.monotonic()
        measured_since = now - MEASUREMENT_MAX_AGE_S
        shares_by_id = self.request_shares.own_shares_by_id()
        states_by_id = {
            endpoint_id: health.state(
                shares_by_id.get(endpoint_id, PeerShares()), measured_since, now
            )
            for endpoint_id in self._used_ids | shares_by_id.keys()
            if (health := self._health_by_id[endpoint_id]).in_flight
            or health.measured_at >= measured_since
            or endpoint_id in shares_by_id
        }
        self._used_ids.intersection_update(states_by_id)
        return states_by_id

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener whenever an endpoint may have become usable."""
        self._listeners.append(listener)

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Adds or updates an endpoint from the platform's registry."""
        previous = self._list.put(endpoint)
        if previous is None or previous.started_ms != endpoint.started_ms:
            self._health_by_id[endpoint.id] = EndpointHealth.of_new_start(
                self._health_by_id[endpoint.id]
            )
            if previous is not None:
                self.request_shares.record_start(endpoint.id)
        self.cold.record_entry(endpoint)
        self._notify()

    def remove(self, endpoint_id: str, keep_until: float = 0.0) -> None:
        """Removes an endpoint.

        Args:
          endpoint_id: The endpoint.
          keep_until: Monotonic time in seconds until which the endpoint
            remains in use, since its registration may have expired only
            because of an outage of the store.
        """
        self._list.remove(endpoint_id, keep_until)

    def end_evacuation(self, zone: str) -> None:
        """Lets the endpoints of a zone get requests again, a few at first."""
        for endpoint in self.by_id.values():
            if endpoint.zone == zone:
                self.cold.assume(endpoint)
        self.zone_limits.end_evacuation(zone)
        self._notify()

    def candidates(
        self,
        service: str,
        excluded: frozenset[str] = frozenset(),
        model: str = "",
        ranking: EndpointRanking = _WORK_RANKING,
        waiting: int = 1,
        is_usable: Callable[[Endpoint], bool] = lambda _: True,
        regions: frozenset[str] | None = None,
        expected_s: float = DEFAULT_WORK_S,
    ) -> list[Endpoint]:
        """Returns the available endpoints of a service, the cheapest first.

        Args:
          service: The service.
          excluded: Identifiers of endpoints that are left out.
          model: Model of the request; empty if any.
          ranking: Orders the endpoints.
          waiting: Number of requests that wait for them. With it, this process
            competes from now on for those that state a limit; if none waits,
            these are left out.
          is_usable: Whether an endpoint can run the request at all; this
            process does not compete for others.
          regions: Regions that may run the request; None if any may.
          expected_s: Seconds that the request is expected to take at an
            endpoint of usual speed.
        """
        for part in self._list.parts(service, regions):
            found = [
                endpoint
                for endpoint in part
                if endpoint.id not in excluded
                and self.is_available(endpoint.id, model)
                and is_usable(endpoint)
                and self.request_shares.allows(endpoint.id, waiting)
            ]
            if found:
                mean_speed = self._mean_seconds_per_unit(part)
                return sorted(
                    found,
                    key=lambda endpoint: ranking.cost(
                        self.view(endpoint, expected_s, mean_speed)
                    ),
                )
        return []

    def has_endpoints(
        self, service: str, regions: frozenset[str] | None = None
    ) -> bool:
        """Returns whether the service has endpoints that accept requests."""
        return any(self._list.parts(service, regions))

    def free_slots(self, endpoint: Endpoint) -> int:
        """Returns how many slots neither this process nor its peers use."""
        return endpoint.slots - self._running_requests(endpoint)

    def is_available(self, endpoint_id: str, model: str = "") -> bool:
        """Returns whether the endpoint is not in a backoff."""
        return self._health_by_id[endpoint_id].is_available(
            model, self._clock.monotonic()
        )

    def next_retry_in_s(self, service: str) -> float | None:
        """Returns the seconds until an endpoint may be tried again.

        Returns:
          The lowest value for the endpoints of the service that are in a
          backoff or at their limit; None if there are none.
        """
        now = self._clock.monotonic()
        endpoints = list(
            itertools.chain.from_iterable(self._list.parts(service))
        )
        limit_waits_s = (
            self.request_shares.next_share_in_s(endpoint.id)
            for endpoint in endpoints
        )
        backoff_ends = itertools.chain.from_iterable(
            (health.backoff_until, *health.backoff_until_by_model.values())
            for health in (
                self._health_by_id[endpoint.id] for endpoint in endpoints
            )
        )
        waits_s = itertools.chain(
            (end - now for end in backoff_ends), limit_waits_s
        )
        return min(
            (wait_s for wait_s in waits_s if 0 < wait_s < float("inf")),
            default=None,
        )

    def limit_wait_s(
        self, services: Iterable[str], regions: frozenset[str] | None = None
    ) -> float:
        """Returns the seconds until an endpoint's limit allows a request.

        Returns:
          The lowest value for the endpoints of the services; 0 if an endpoint
          is below its limit or there are none.
        """
        return min(
            (
                self.request_shares.seconds_until_request(endpoint.id)
                for service in services
                for part in self._list.parts(service, regions)
                for endpoint in part
            ),
            default=0.0,
        )

    def seconds_per_unit(self, endpoint: Endpoint) -> float | None:
        """Returns the seconds per unit of work; None if unknown."""
        health = self._health_by_id[endpoint.id]
        if self._clock.monotonic() - health.measured_at > MEASUREMENT_MAX_AGE_S:
            from_peers = self._peer_state(endpoint.id).seconds_per_unit
            if from_peers is not None:
                return from_peers
        return health.seconds_per_unit

    def failure_rate(self, endpoint_id: str) -> float:
        """Returns the recent share of failed requests on an endpoint."""
        return self._health_by_id[endpoint_id].current_failure_rate(
            self._clock.monotonic()
        )

    def model_version(self, endpoint: Endpoint, model: str) -> int:
        """Returns the newest known version of a model on an endpoint."""
        return max(
            endpoint.version_by_model.get(model, 0),
            self._health_by_id[endpoint.id].version_by_model.get(model, 0),
        )

    def record_response(
        self, endpoint_id: str, requests_per_s: float | None, sent_at: float
    ) -> None:
        """Records what a response says about the limit of its endpoint."""
        if self.request_shares.record_response(
            endpoint_id, requests_per_s, sent_at
        ):
            self._notify()

    def record_leaving(self, endpoint: Endpoint, source: str) -> None:
        """Records that an endpoint has said that it leaves."""
        self.leaving.record(endpoint, source)

    def retract_leaving(self, endpoint: Endpoint) -> None:
        """Records that an endpoint says that it does not leave after all."""
        self.leaving.retract(endpoint)
        self._notify()

    def record_refused_connection(self, endpoint_id: str) -> None:
        """Records that nothing listens at the address of an endpoint."""
        self._health_by_id[
            endpoint_id
        ].connection_refused_at = self._clock.monotonic()

    def has_ended(
        self, endpoint_id: str, started_ms: int, since: float
    ) -> bool:
        """Returns whether a start of an endpoint has ended.

        Args:
          endpoint_id: The endpoint.
          started_ms: Time of its start in Unix milliseconds.
          since: Monotonic time in seconds; what was seen later counts.
        """
        endpoint = self.by_id.get(endpoint_id)
        return (
            endpoint is None
            or endpoint.started_ms != started_ms
            or self._health_by_id[endpoint_id].connection_refused_at > since
        )

    def record_request_start(
        self,
        endpoint: Endpoint,
        model: str = "",
        expected_s: float = DEFAULT_WORK_S,
    ) -> None:
        """Records that a request is sent to an endpoint.

        After a refusal, a single request probes the endpoint. Other requests
        wait until the endpoint accepts the probe or a new backoff ends. Where
        endpoints can be cold, the same holds after a failure: it may have
        started again, and its entry may not say so yet.

        Args:
          endpoint: The endpoint.
          model: Model of the request; empty if any.
          expected_s: Seconds that the endpoint is expected to take for it.
        """
        self.request_shares.record_send(endpoint.id)
        self._used_ids.add(endpoint.id)
        health = self._health_by_id[endpoint.id]
        now = self._clock.monotonic()
        health.begin_request(expected_s, now)
        health.begin_probe(model, self.cold.has_rate(endpoint.service), now)

    def record_request_end(
        self, endpoint: Endpoint, leaves_connection: bool = False
    ) -> None:
        """Records that a request to an endpoint has ended.

        Args:
          endpoint: The endpoint.
          leaves_connection: Whether its connection can serve another request.
        """
        self._health_by_id[endpoint.id].end_request(
            leaves_connection, self._clock.monotonic()
        )
        self._notify()

    def record_acceptance(self, endpoint: Endpoint, model: str = "") -> None:
        """Records that an endpoint accepted a request."""
        health = self._health_by_id[endpoint.id]
        if health.consecutive_refusals_by_model.pop(model, 0):
            health.backoff_until_by_model.pop(model, None)
            self._notify()

    def record_success(
        self, endpoint: Endpoint, seconds_per_unit: float
    ) -> None:
        """Records a success, which ends the backoff after failures.

        Args:
          endpoint: The endpoint.
          seconds_per_unit: Measured seconds per unit of work; the unit is the
            same within a service.
        """
        self._used_ids.add(endpoint.id)
        self._health_by_id[endpoint.id].record_success(
            seconds_per_unit, self._clock.monotonic()
        )

    def record_event(self, endpoint: Endpoint) -> None:
        """Records an event of a stream, which ends a backoff like a success."""
        self._health_by_id[endpoint.id].record_event(self._clock.monotonic())

    def record_outcome(self, endpoint: Endpoint, has_failed: bool) -> None:
        """Updates the failure rate with the outcome of a request.

        Not called for refusals.
        """
        self._health_by_id[endpoint.id].record_outcome(
            has_failed, self._clock.monotonic()
        )

    def record_model_version(
        self, endpoint: Endpoint, model: str, version: int
    ) -> None:
        """Records the version of a model that an endpoint reported."""
        self._health_by_id[endpoint.id].version_by_model[model] = version

    def record_refusal(self, endpoint: Endpoint, model: str = "") -> None:
        """Records that an endpoint refused a request without running it."""
        self._health_by_id[endpoint.id].record_refusal(
            model, self._clock.monotonic()
        )

    def record_failure(
        self, endpoint: Endpoint, reason: str, started_at: float
    ) -> None:
        """Begins a backoff of an endpoint after a failed request.

        Args:
          endpoint: The endpoint.
          reason: Why the request failed, for the log.
          started_at: Monotonic time in seconds at which the request was sent;
            no backoff begins if the endpoint has had a success since then.
        """
        health = self._health_by_id[endpoint.id]
        if health.last_success_at >= started_at:
            return
        backoff_s = health.record_failure(self._clock.monotonic())
        logs.event(
            logging.INFO,
            "Endpoint suspected",
            endpoint=endpoint.id,
            reason=reason,
            failures_in_row=health.consecutive_failures,
            pause_s=backoff_s,
        )

    def active(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[Endpoint]:
        """Returns the endpoints of a service that accept new requests.

        If all of them have just said that they leave, these are returned.

        Args:
          service: The service.
          regions: Regions that may run the requests; None if any may.
        """
        return self._list.active(service, regions)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint leaves by its entry or its responses."""
        return self._list.is_leaving(endpoint)

    def _forget(self, endpoint_id: str) -> None:
        if not self._health_by_id[endpoint_id].in_flight:
            self._health_by_id.pop(endpoint_id, None)
        self.request_shares.remove(endpoint_id)
        self.cold.remove(endpoint_id)

    def _peer_state(self, endpoint_id: str) -> EndpointState:
        return self._fetch_peer_states().get(endpoint_id, _UNUSED)

    def _running_requests(self, endpoint: Endpoint) -> int:
        health = self._health_by_id[endpoint.id]
        return health.in_flight + self._peer_state(endpoint.id).running

    def work_left_s(self, endpoint: Endpoint) -> float:
        """Returns the seconds of work of all processes at an endpoint."""
        local_s = self._health_by_id[endpoint.id].work.left_s(
            self._clock.monotonic()
        )
        state = self._peer_state(endpoint.id)
        # Processes of the release before tell how many requests they run only.
        return local_s + (state.work_left_s or state.running * DEFAULT_WORK_S)

    def view(
        self, endpoint: Endpoint, expected_s: float, usual_speed: float = 1.0
    ) -> EndpointView:
        """Returns what is known of an endpoint for a request."""
        seconds_per_unit = self.seconds_per_unit(endpoint)
        health = self._health_by_id[endpoint.id]
        return EndpointView(
            self._running_requests(endpoint),
            endpoint.slots,
            usual_speed if seconds_per_unit is None else seconds_per_unit,
            endpoint.zone == self._zone,
            self.failure_rate(endpoint.id),
            expected_s,
            self.work_left_s(endpoint),
            health.connections.has_any(self._clock.monotonic()),
        )

    def _mean_seconds_per_unit(self, endpoints: Iterable[Endpoint]) -> float:
        measured = [
            seconds
            for endpoint in endpoints
            if (seconds := self._health_by_id[endpoint.id].seconds_per_unit)
        ]
        return sum(measured) / len(measured) if measured else 1.0

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

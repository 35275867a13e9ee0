"""Updates the membership from links, entries and the instance list."""

import asyncio

from absl import logging
from shallotstand.control.membership import LinkState, Membership
from shallotstand.core import logs
from shallotstand.core.failure import Failure
from shallotstand.link.messages import EndpointLoad, Hello, Suspicion
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.platform.protocols import InstanceList

# No event signals a silent sidecar, so silence is checked for periodically.
SILENCE_CHECK_INTERVAL_S = 1.0
# The platform updates its list with a longer delay than this, so shorter
# intervals are of no use.
INSTANCE_LIST_INTERVAL_S = 5.0


class MembershipUpdater:
    """Updates the membership and exchanges suspicions with other entries.

    Attributes:
      peer_connections: Connections to the peers; set right after construction.
    """

    peer_connections: PeerConnectionManager

    def __init__(self, membership: Membership, instances: InstanceList | None):
        """Initializes without any endpoint.

        Args:
          membership: Decides which endpoints may get work.
          instances: The platform's list of instances; None if there is none.
        """
        self._membership = membership
        self._instances = instances
        self._announced: frozenset[str] = frozenset()

    def endpoint_state(self, endpoint: str) -> str:
        """Returns the state of an endpoint; only `live` endpoints get work."""
        return self._membership.endpoint_state(endpoint).value

    def record_connected(self, hello: Hello) -> None:
        """Records that a sidecar has connected."""
        self._set_links(hello, LinkState.UP)

    def record_disconnected(self, hello: Hello) -> None:
        """Records that the last connection of a sidecar has ended."""
        self._set_links(hello, LinkState.GONE)

    def receive_load_report(self, report: EndpointLoad) -> None:
        """Records whether an endpoint reports that it is leaving."""
        is_leaving = report.state == "leaving"
        self._membership.set_leaving(report.name, is_leaving)

    def send_suspicions(self, peer: PeerConnection) -> None:
        """Sends the suspected endpoints to an entry that has connected."""
        peer.send(_suspicion_message(self._membership.suspected_endpoints()))

    def receive_suspicion(
        self, peer: PeerConnection, suspicion: Suspicion
    ) -> None:
        """Records the endpoints that another entry suspects."""
        self._membership.record_suspicions(
            peer.hello.process_id, suspicion.endpoints
        )

    def forget_peer(self, peer: PeerConnection) -> None:
        """Drops the suspicions of a lost entry unless it has reconnected."""
        process_id = peer.hello.process_id
        if self.peer_connections.connections_by_id.get(process_id) in (
            None,
            peer,
        ):
            self._membership.record_suspicions(process_id, ())

    async def run(self) -> None:
        """Checks for silent sidecars every second, until cancelled."""
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            self.update_links()

    def update_links(self) -> None:
        """Records silent sidecars and broadcasts changed suspicions."""
        for peer in self.peer_connections.peers("sidecar"):
            link = LinkState.SILENT if peer.is_silent else LinkState.UP
            self._set_links(peer.hello, link)
        suspects = self._membership.suspected_endpoints()
        if suspects != self._announced:
            self.peer_connections.broadcast(
                _suspicion_message(suspects), "entry"
            )
        self._announced = suspects

    async def poll_instance_list(self) -> None:
        """Fetches the platform's instance list every 5 s, until cancelled."""
        while self._instances is not None:
            instances = await self._instances.instances()
            if isinstance(instances, Failure):
                logs.event(
                    logging.WARNING,
                    "Instance list could not be fetched",
                    code=int(instances.code),
                    reason=instances.reason,
                )
            else:
                self._membership.receive_instance_list(instances)
            await asyncio.sleep(INSTANCE_LIST_INTERVAL_S)

    def _set_links(self, hello: Hello, link: LinkState) -> None:
        for info in hello.endpoints:
            self._membership.set_link(info.name, info.zone, link)


def _suspicion_message(endpoints: frozenset[str]) -> Suspicion:
    return Suspicion(tuple(sorted(endpoints)))

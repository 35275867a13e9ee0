"""Latest reports of the connected processes and their endpoints."""

from collections.abc import Iterable
from typing import NamedTuple

from shallotstand.core.clock import Clock
from shallotstand.link.messages import EndpointLoad
from shallotstand.link.peer_connections import PeerConnection


class ReportedRevision(NamedTuple):
    """The revision that a process uses.

    Attributes:
      revision: Number of the revision.
      digest: Digest of the revision's objects.
      reported_at: Monotonic time in seconds at which the report arrived.
    """

    revision: int
    digest: str
    reported_at: float


class PeerReports:
    """Keeps the latest reports of each connected process."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._revisions_by_process: dict[str, ReportedRevision] = {}
        self._loads_by_process: dict[str, dict[str, EndpointLoad]] = {}

    def record_revision(
        self, peer: PeerConnection, revision: int, digest: str
    ) -> None:
        """Records the revision that a process uses."""
        self._revisions_by_process[peer.hello.process_id] = ReportedRevision(
            revision, digest, self._clock.monotonic()
        )

    def record_loads(
        self, peer: PeerConnection, endpoints: Iterable[EndpointLoad]
    ) -> None:
        """Records the load reports of a sidecar's endpoints."""
        loads = self._loads_by_process.setdefault(peer.hello.process_id, {})
        loads.update({load.name: load for load in endpoints})

    def remove_peer(self, peer: PeerConnection) -> None:
        """Drops the reports of a process whose connection ended."""
        self._revisions_by_process.pop(peer.hello.process_id, None)
        self._loads_by_process.pop(peer.hello.process_id, None)

    def get_revision(self, process: str) -> ReportedRevision | None:
        """Returns a process's reported revision; None before its report."""
        return self._revisions_by_process.get(process)

    def get_revision_age_s(self, reported: ReportedRevision) -> float:
        """Returns the seconds since a revision was reported."""
        return self._clock.monotonic() - reported.reported_at

    def get_load(self, process: str, endpoint: str) -> EndpointLoad | None:
        """Returns an endpoint's last load report; None before the first."""
        return self._loads_by_process.get(process, {}).get(endpoint)

"""Chooses the process that runs a batch."""

from collections.abc import Callable
from typing import NamedTuple

from shallotstand.link.gateway_messages import EndpointUse, Presence
from shallotstand.peers.mesh import PeerMesh

# Assumed number of requests that a new batch adds to the process that runs it.
REQUESTS_PER_BATCH = 40
# A batch is placed on a peer only if the peer's load would be below this share
# of the load of the process that accepted the batch, since a move costs
# messages.
MAX_LOAD_RATIO = 0.6


class _Candidate(NamedTuple):
    process_id: str
    load: float


class BatchPlacement:
    """Places batches by the load of the processes in a zone.

    Peers of other zones are not considered: callers read a batch where they
    submitted it, and traffic between zones is billed.
    """

    def __init__(
        self,
        process_id: str,
        zone: str,
        processor_share: int,
        mesh: PeerMesh,
        count_running: Callable[[], int],
    ):
        """Creates the placement of a process.

        Args:
          process_id: Identifier of the process.
          zone: Its availability zone.
          processor_share: Its CPU limit in hundredths of a core.
          mesh: The connections to its peers.
          count_running: Returns the number of requests that the process has
            running.
        """
        self._process_id = process_id
        self._zone = zone
        self._processor_share = processor_share
        self._mesh = mesh
        self._count_running = count_running

    def choose_process(self) -> str:
        """Returns the identifier of the process that is to run a new batch."""
        own = _candidate(
            self._process_id, self._processor_share, self._count_running()
        )
        best = min(
            map(_peer_candidate, self._mesh.available_in_zone(self._zone)),
            key=lambda candidate: candidate.load,
            default=own,
        )
        return (
            best if best.load < own.load * MAX_LOAD_RATIO else own
        ).process_id

    def choose_successors(self, count: int) -> list[str]:
        """Returns the peers that are to run the batches of this process.

        Those of its zone come first, the least loaded first; each gets a share
        of the batches.

        Args:
          count: Number of batches.

        Returns:
          Identifiers of processes, one for each batch; empty if no peer is
          available.
        """
        peers = (
            self._mesh.available_in_zone(self._zone) or self._mesh.available()
        )
        candidates = sorted(
            map(_peer_candidate, peers), key=lambda candidate: candidate.load
        )
        loads_by_id = {one.process_id: one.load for one in candidates}
        shares_by_id = {
            presence.process_id: presence.processor_share for presence in peers
        }
        successors = []
        for _ in range(count if candidates else 0):
            chosen = min(loads_by_id, key=loads_by_id.__getitem__)
            loads_by_id[chosen] += REQUESTS_PER_BATCH / max(
                1, shares_by_id[chosen]
            )
            successors.append(chosen)
        return successors


def _peer_candidate(presence: Presence) -> _Candidate:
    return _candidate(
        presence.process_id,
        presence.processor_share,
        _total_running(presence.uses),
    )


def _candidate(
    process_id: str, processor_share: int, running: int
) -> _Candidate:
    load = (running + REQUESTS_PER_BATCH) / max(1, processor_share)
    return _Candidate(process_id, load)


def _total_running(uses: tuple[EndpointUse, ...]) -> int:
    return sum(use.running for use in uses)

"""Decides which gateway runs a batch."""

from absl import logging
from shallotstand.batches.registry import Batch
from shallotstand.batches.runner import UNCLAIMED_TIMEOUT_S
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.peers.mesh import PeerMesh


class MeshOwnership:
    """Lets a batch run on its owner or else on its preferred owner.

    The owner is the process to which the batch was assigned on submission. The
    preferred owner is an available process; all processes that know the same
    peers choose the same one. It takes over a batch that no available process
    runs if the owner is unavailable or does not claim the batch in time, or if
    a peer that has become unavailable had claimed it. A batch whose owner was
    an earlier process of the same instance is taken over at once.
    """

    def __init__(
        self, process_id: str, instance: str, mesh: PeerMesh, clock: Clock
    ):
        """Creates the ownership rules of a process.

        Args:
          process_id: Identifier of the process; begins with its instance.
          instance: Name of its instance.
          mesh: Connections to the other processes.
          clock: Source of time.
        """
        self._clock = clock
        self._unclaimed_since: dict[str, float] = {}
        self._process_id = process_id
        self._instance = instance
        self._mesh = mesh

    def should_run(self, batch: Batch) -> bool:
        """Returns whether this process should run the batch now."""
        owner = batch.submission.owner
        if owner == self._process_id:
            # A peer takes the batch over if this process does not begin it.
            return not self._mesh.is_batch_claimed(batch.id)
        if not self._should_take_over(batch.id, owner):
            return False
        logs.event(
            logging.INFO, "Batch taken over", batch=batch.id, owner=owner
        )
        return True

    def may_take_over(self, batch_id: str) -> bool:
        """Returns whether this process may take over a batch.

        It may if no peer runs the batch and this process is its preferred
        owner, but not until all live peers have had time to report.
        """
        return (
            self._mesh.is_peer_view_complete
            and not self._mesh.is_batch_claimed(batch_id)
            and self._mesh.is_preferred_owner(batch_id)
        )

    def was_claimed(self, batch_id: str) -> bool:
        """Returns whether the latest report of any peer claims a batch."""
        return self._mesh.was_claimed(batch_id)

    def _should_take_over(self, batch_id: str, owner: str) -> bool:
        if owner.rpartition(".")[0] == self._instance:
            # The owner was an earlier process of this instance; it has ended.
            return True
        if not self.may_take_over(batch_id):
            self._unclaimed_since.pop(batch_id, None)
            return False
        if not self._mesh.is_process_available(owner) or self.was_claimed(
            batch_id
        ):
            return True
        # The owner may not have received the batch yet.
        now = self._clock.monotonic()
        unclaimed_since = self._unclaimed_since.setdefault(batch_id, now)
        return now - unclaimed_since >= UNCLAIMED_TIMEOUT_S

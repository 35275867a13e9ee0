"""Decides which gateway runs a batch."""

from absl import logging
from shallotstand.batches.book import Batch
from shallotstand.core import logs
from shallotstand.peers.mesh import PeerMesh


class MeshOwnership:
    """A batch runs where it was accepted, or else at the first that works."""

    def __init__(self, process_id: str, mesh: PeerMesh):
        self._process_id = process_id
        self._mesh = mesh

    def is_mine(self, batch: Batch) -> bool:
        """Says whether this process is to run the batch now."""
        owner = batch.submission.owner
        if owner == self._process_id:
            return True
        if not self._mesh.is_settled or self._mesh.is_working(owner):
            return False
        if self._mesh.first_for(batch.id) != self._process_id:
            return False
        logs.event(
            logging.INFO, "Batch taken over", batch=batch.id, owner=owner
        )
        return True

"""Decides which gateway runs a batch."""

from shallotstand.batches.book import Batch


class FirstOwner:
    """Each batch runs where it was accepted."""

    def __init__(self, process_id: str):
        self._process_id = process_id

    def is_mine(self, batch: Batch) -> bool:
        """Says whether this process accepted the batch."""
        return batch.submission.owner == self._process_id

"""A document that only one process at a time writes."""

from typing import Any

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document, DocumentStore


class SingleWriterDocument:
    """Writes a document that no other running process writes.

    An earlier process of the same instance may have written it.

    After a write whose outcome is unknown, the next write can still succeed.
    """

    def __init__(self, store: DocumentStore, kind: str, name: str):
        self._store = store
        self._kind = kind
        self._name = name
        self._revision = 0

    async def write(self, spec: Any) -> Failure | None:
        """Creates or replaces the document.

        Errors:
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN, VERSION_CONFLICT: The write may
            be retried.
          VALUE_TOO_LARGE: The document exceeds the store's size limit.
        """
        outcome = None
        if self._revision:
            outcome = await self._store.replace(
                self._kind, self._name, spec, self._revision
            )
        if outcome is None or _is_not_found(outcome):
            # It was never written, or deleted after an earlier write.
            outcome = await self._store.create(self._kind, self._name, spec)
        if not isinstance(outcome, Failure):
            self._revision = outcome.revision
            return None
        if outcome.code in (
            ResultCode.VERSION_CONFLICT,
            ResultCode.OUTCOME_UNKNOWN,
        ):
            # The document may have been changed by an earlier write without a
            # response or by an earlier process of this instance.
            current = await self._store.get(self._kind, self._name)
            if not isinstance(current, Failure):
                self._revision = current.revision
        return outcome


def _is_not_found(outcome: Document | Failure) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.code == ResultCode.OBJECT_NOT_FOUND
    )

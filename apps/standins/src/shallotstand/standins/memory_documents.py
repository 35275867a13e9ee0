"""An in-memory document store that can simulate failures."""

import asyncio
import collections
import itertools
from typing import Any

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import (
    Change,
    ChangeBatch,
    Document,
    Listing,
)

UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE, "The store is down.")
ANSWER_LOST = Failure(ResultCode.OUTCOME_UNKNOWN, "The response was lost.")


class MemoryDocuments:
    """Implements `DocumentStore` in memory.

    Attributes:
      is_down: Whether every call fails without effect.
      lost_answers: Number of coming writes that take effect although they
        return a failure.
      call_counts: Number of calls by method and kind.
    """

    def __init__(self) -> None:
        self._revisions = itertools.count(1)
        self._revision = 0
        self._documents: dict[tuple[str, str], Document] = {}
        self._history: list[Change] = []
        self._history_start = 0
        self._changed = asyncio.Event()
        self.is_down = False
        self.lost_answers = 0
        self.call_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def drop_history(self) -> None:
        """Drops all recorded changes; watches from an older revision fail."""
        self._history.clear()
        self._history_start = self._revision
        self._notify()

    async def list(self, kind: str) -> Listing | Failure:
        """Reads every object of a kind."""
        self.call_counts["list", kind] += 1
        if self.is_down:
            return UNAVAILABLE
        return Listing(
            tuple(
                document
                for document in self._documents.values()
                if document.kind == kind
            ),
            self._revision,
        )

    async def get(
        self, kind: str, name: str, may_be_stale: bool = False
    ) -> Document | Failure:
        """Reads an object."""
        del may_be_stale  # Reads are never stale here.
        self.call_counts["get", kind] += 1
        if self.is_down:
            return UNAVAILABLE
        document = self._documents.get((kind, name))
        if document is None:
            return Failure(ResultCode.OBJECT_NOT_FOUND, f"{kind}/{name}")
        return document

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Document | Failure:
        """Creates an object."""
        self.call_counts["create", kind] += 1
        if self.is_down:
            return UNAVAILABLE
        if (kind, name) in self._documents:
            return Failure(ResultCode.VERSION_CONFLICT, f"{kind}/{name}")
        return self._write(Document(kind, name, 0, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Document | Failure:
        """Replaces the content of an object if it has this revision."""
        self.call_counts["replace", kind] += 1
        document = self._read_at_revision(kind, name, revision)
        if isinstance(document, Failure):
            return document
        return self._write(document._replace(spec=spec))

    async def set_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Document | Failure:
        """Replaces the status of an object if it has this revision."""
        self.call_counts["set_status", kind] += 1
        document = self._read_at_revision(kind, name, revision)
        if isinstance(document, Failure):
            return document
        return self._write(document._replace(status=status))

    async def delete(self, kind: str, name: str) -> Failure | None:
        """Deletes an object if it exists."""
        self.call_counts["delete", kind] += 1
        if self.is_down:
            return UNAVAILABLE
        document = self._documents.pop((kind, name), None)
        if document is not None:
            self._record(Change(document, True))
        return None

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> ChangeBatch | Failure:
        """Waits for changes of a kind after a revision."""
        self.call_counts["watch", kind] += 1
        if self.is_down:
            return UNAVAILABLE
        try:
            async with asyncio.timeout(wait_s):
                while not self.is_down and self._history_start <= revision:
                    changes = tuple(
                        change
                        for change in self._history
                        if change.document.kind == kind
                        and change.document.revision > revision
                    )
                    if changes:
                        return ChangeBatch(changes, self._revision)
                    await self._changed.wait()
        except TimeoutError:
            return ChangeBatch((), self._revision)
        if self.is_down:
            return UNAVAILABLE
        return Failure(
            ResultCode.HISTORY_GONE,
            "Changes since this revision are no longer kept.",
        )

    def set_down(self, is_down: bool) -> None:
        """Takes the store down or brings it back."""
        self.is_down = is_down
        self._notify()

    def _read_at_revision(
        self, kind: str, name: str, revision: int
    ) -> Document | Failure:
        if self.is_down:
            return UNAVAILABLE
        document = self._documents.get((kind, name))
        if document is None:
            return Failure(ResultCode.OBJECT_NOT_FOUND, f"{kind}/{name}")
        if document.revision != revision:
            return Failure(ResultCode.VERSION_CONFLICT, f"{kind}/{name}")
        return document

    def _write(self, document: Document) -> Document | Failure:
        document = document._replace(revision=next(self._revisions))
        self._documents[document.kind, document.name] = document
        self._record(Change(document, False))
        if self.lost_answers:
            self.lost_answers -= 1
            return ANSWER_LOST
        return document

    def _record(self, change: Change) -> None:
        if change.is_removed:
            change = Change(
                change.document._replace(revision=next(self._revisions)), True
            )
        self._revision = change.document.revision
        self._history.append(change)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

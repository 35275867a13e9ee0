"""Texts generated so far, cached so that an item can resume."""

import collections
from typing import TypedDict

# Items of ended batches may be submitted again; their cached texts are reused.
MAX_CACHED_ITEMS = 2000


class ProgressRecord(TypedDict):
    """Stored form of the text of an unfinished item.

    `events` and `versions` hold the data and the weight version of each event;
    `is_whole` says whether the text is complete; `software_version` is that of
    the engines that generated it.
    """

    events: list[str]
    versions: list[int]
    is_whole: bool
    software_version: str


class Progress:
    """The text generated so far for an item.

    Attributes:
      events: Data of the events, in order.
      versions: Version of the weights that generated each event.
      is_complete: Whether the text is complete.
      software_version: Software version of the engines that generated it; None
        without events. Only that version can continue it.
    """

    def __init__(self) -> None:
        self.events: list[str] = []
        self.versions: list[int] = []
        self.is_complete = False
        self.software_version: str | None = None

    @property
    def text(self) -> str:
        """The text as a result contains it."""
        return "\n".join(self.events)

    @property
    def distinct_versions(self) -> tuple[int, ...]:
        """The versions that generated the text, ascending."""
        return tuple(sorted(set(self.versions)))

    def is_usable(self, min_version: int, is_single_version: bool) -> bool:
        """Returns whether the text meets the limits of its batch and route."""
        versions = self.distinct_versions
        if is_single_version and len(versions) > 1:
            return False
        return all(version >= min_version for version in versions)

    @classmethod
    def from_record(cls, record: ProgressRecord) -> "Progress":
        """Returns the text that a record holds.

        Raises:
          KeyError, TypeError, ValueError: The record is malformed.
        """
        progress = cls()
        progress.events = list(record["events"])
        progress.versions = list(record["versions"])
        progress.is_complete = bool(record["is_whole"])
        progress.software_version = str(record["software_version"])
        return progress

    def to_record(self) -> ProgressRecord:
        """Returns the stored form."""
        return ProgressRecord(
            events=list(self.events),
            versions=list(self.versions),
            is_whole=self.is_complete,
            software_version=self.software_version or "",
        )

    def truncate(self, event_count: int) -> None:
        """Discards the events after the first `event_count`."""
        del self.events[event_count:]
        del self.versions[event_count:]
        self.is_complete = False

    def clear(self) -> None:
        """Discards the text, so that the item starts over."""
        self.events.clear()
        self.versions.clear()
        self.is_complete = False
        self.software_version = None


class ProgressCache:
    """Texts by `text_key`; evicts the oldest first."""

    def __init__(self, capacity: int = MAX_CACHED_ITEMS):
        self._capacity = capacity
        self._progress_by_key: collections.OrderedDict[str, Progress] = (
            collections.OrderedDict()
        )

    def pop(self, key: str) -> Progress:
        """Removes and returns a text; it is empty if none is cached."""
        return self._progress_by_key.pop(key, None) or Progress()

    def put(self, key: str, progress: Progress) -> None:
        """Stores a text unless it is empty."""
        if not progress.events:
            return
        self._progress_by_key[key] = progress
        while len(self._progress_by_key) > self._capacity:
            self._progress_by_key.popitem(last=False)

"""What has been generated of an item, kept so that it need not run again."""

import collections
from typing import NamedTuple

from shallotstand.batches.records import Item

# Texts of items whose batch has ended and that may come again.
MAX_KEPT_ITEMS = 2000


class Progress:
    """Text of an item so far.

    Attributes:
      events: Data of the events, in order.
      versions: Version of the weights that made each event.
      is_whole: Whether the text is complete.
    """

    def __init__(self) -> None:
        self.events: list[str] = []
        self.versions: list[int] = []
        self.is_whole = False

    @property
    def text(self) -> str:
        """The text that is listed."""
        return "\n".join(self.events)

    @property
    def distinct_versions(self) -> tuple[int, ...]:
        """The versions that made the text, ascending."""
        return tuple(sorted(set(self.versions)))

    def fits(self, min_version: int, is_single_version: bool) -> bool:
        """Says whether a batch may use the text."""
        versions = self.distinct_versions
        if is_single_version and len(versions) > 1:
            return False
        return all(version >= min_version for version in versions)

    def clear(self) -> None:
        """Drops the text, so that the item starts anew."""
        self.events.clear()
        self.versions.clear()
        self.is_whole = False


class _Kept(NamedTuple):
    item: Item
    progress: Progress


class ProgressCache:
    """Texts of items by identifier, the least recently used dropped first."""

    def __init__(self, capacity: int = MAX_KEPT_ITEMS):
        self._capacity = capacity
        self._kept_by_id: collections.OrderedDict[str, _Kept] = (
            collections.OrderedDict()
        )

    def take(self, item: Item) -> Progress:
        """Returns the text of an item and removes it; empty if none is kept."""
        kept = self._kept_by_id.pop(item.id, None)
        if kept is None or (kept.item.target, kept.item.body) != (
            item.target,
            item.body,
        ):
            return Progress()
        return kept.progress

    def keep(self, item: Item, progress: Progress) -> None:
        """Keeps the text of an item."""
        if not progress.events:
            return
        self._kept_by_id[item.id] = _Kept(item, progress)
        while len(self._kept_by_id) > self._capacity:
            self._kept_by_id.popitem(last=False)

"""Adds the events of one response to the text of an item."""

import orjson
from shallotstand.batches.progress import Progress
from shallotstand.batches.records import MAX_ENTRY_BYTES
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint_client import StreamEvent

# Leaves room in a log entry for the result's other fields.
MAX_TEXT_BYTES = MAX_ENTRY_BYTES - 50_000


class TextAssembly:
    """The text of an item while one response extends it.

    A response that turns out to be too long has no events that can be trusted,
    since nothing tells where the answer should have ended. The text then
    returns to what it was before the response.
    """

    def __init__(
        self, progress: Progress, min_version: int, is_single_version: bool
    ):
        """Continues a text.

        Args:
          progress: The text so far; changed in place.
          min_version: Oldest version of the weights that may generate it.
          is_single_version: Whether only one version may generate it.
        """
        self._progress = progress
        self._min_version = min_version
        self._is_single_version = is_single_version
        self._event_count_before = len(progress.events)
        self._size = sum(map(_encoded_size, progress.events))

    def add(self, event: StreamEvent, version: int | None) -> Failure | None:
        """Adds an event that one version of the weights generated.

        Errors:
          ENDPOINT_BAD_ANSWER: It is not the event that follows.
          VERSION_UNKNOWN: It is not known which version generated it.
          ANSWER_TOO_LARGE: The text would not fit into a log entry.
          SAMPLE_STALE: The version is not allowed; the text is discarded.
        """
        expected = len(self._progress.events) + 1
        if event.number != expected:
            return Failure(
                ResultCode.ENDPOINT_BAD_ANSWER,
                f"Received event {event.number}, expected {expected}.",
            )
        if version is None:
            return Failure(
                ResultCode.VERSION_UNKNOWN, "The engine sent no weight version."
            )
        self._size += _encoded_size(event.data)
        if self._size > MAX_TEXT_BYTES:
            return Failure(
                ResultCode.ANSWER_TOO_LARGE,
                f"The text has over {MAX_TEXT_BYTES} bytes.",
            )
        self._progress.events.append(event.data)
        self._progress.versions.append(version)
        if self._progress.is_usable(self._min_version, self._is_single_version):
            return None
        self._progress.clear()
        return Failure(
            ResultCode.SAMPLE_STALE,
            f"The batch or its route does not allow version {version}.",
        )

    def end_with_failure(self, failure: Failure) -> Failure:
        """Keeps or discards the response's events; returns the failure."""
        if failure.code == ResultCode.ANSWER_TOO_LARGE:
            self._progress.truncate(self._event_count_before)
        return failure


def _encoded_size(text: str) -> int:
    """Returns the size of a text in a log entry, in bytes."""
    return len(orjson.dumps(text))

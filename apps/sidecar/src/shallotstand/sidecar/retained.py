"""Keeps finished samples until their step is acknowledged."""

from collections import OrderedDict
from collections.abc import Iterator

from shallotstand.core.failure import Failure
from shallotstand.link.messages import Frame, RetainedSample, SampleOffer
from shallotstand.rollout.slots import SampleId

# Limits the memory of retained samples to half of a sidecar's memory limit.
RETAINED_LIMIT_BYTES = 32 * 1024 * 1024
# Well below the limit of a message, so that offers don't delay other messages
# on the connection for long.
_OFFER_BYTES = 1024 * 1024


class RetainedSamples:
    """Keeps samples by request id and evicts the oldest beyond a size limit.

    Attributes:
      size_bytes: Total size of the samples' bodies.
    """

    def __init__(self, limit_bytes: int = RETAINED_LIMIT_BYTES):
        self.size_bytes = 0
        self._limit_bytes = limit_bytes
        self._samples_by_id: OrderedDict[str, RetainedSample] = OrderedDict()

    def add(self, request_id: str, frame: Frame) -> None:
        """Keeps the answer of a rollout request."""
        if isinstance(SampleId.from_text(request_id), Failure):
            return  # no job could request this sample
        self._remove(request_id)
        self._samples_by_id[request_id] = RetainedSample(
            request_id,
            frame.data,
            frame.spans,
            frame.prompt_tokens,
            frame.completion_tokens,
        )
        self.size_bytes += len(frame.data)
        while self.size_bytes > self._limit_bytes:
            self._remove(next(iter(self._samples_by_id)))

    def get(self, request_id: str) -> RetainedSample | None:
        """Returns a sample; None if it is not kept."""
        return self._samples_by_id.get(request_id)

    def release(self, job: str, step: int) -> None:
        """Drops the samples of a job up to and including a step."""
        for request_id in list(self._samples_by_id):
            slot = SampleId.from_text(request_id).slot
            if slot.job == job and slot.step <= step:
                self._remove(request_id)

    def offers(self, job: str) -> Iterator[SampleOffer]:
        """Yields all samples of a job in messages of about 1 MiB at most."""
        batch: list[RetainedSample] = []
        size = 0
        for request_id, sample in self._samples_by_id.items():
            if SampleId.from_text(request_id).slot.job != job:
                continue
            if batch and size + len(sample.data) > _OFFER_BYTES:
                yield SampleOffer(tuple(batch))
                batch, size = [], 0
            batch.append(sample)
            size += len(sample.data)
        if batch:
            yield SampleOffer(tuple(batch))

    def _remove(self, request_id: str) -> None:
        dropped = self._samples_by_id.pop(request_id, None)
        if dropped is not None:
            self.size_bytes -= len(dropped.data)

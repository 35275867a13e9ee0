"""Collects the samples of an open step and detects its stragglers."""

from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from shallotstand.rollout.samples import Sample
from shallotstand.rollout.slots import SampleId, SampleSlot
from shallotstand.rollout.staleness import ModelVersions

_MAX_MS = 600_000  # no request has a longer deadline
_SIGNIFICANT_DIGITS = 2
# With fewer finished attempts the percentiles say little about the tail.
_MIN_FINISHED_ATTEMPTS = 20
_HEDGE_PERCENTILE = 95.0
_HEDGE_FACTOR = 1.5
# At most this share of a step's slots is hedged.
_MAX_HEDGED_SHARE = 0.05
# Below this ratio of the 99th percentile to the median, the tail is too short
# for a second attempt, which takes about the median time, to finish first.
_HEAVY_TAIL_RATIO = 2.0
_MEDIAN = 50.0
_TAIL_PERCENTILE = 99.0


class RunningAttempt(NamedTuple):
    """An attempt in progress.

    Attributes:
      sample_id: Identifier of the sample being generated.
      started: Monotonic time in seconds of the attempt's start.
    """

    sample_id: SampleId
    started: float


class StepCollector:
    """Samples and running attempts of one step, by slot.

    Attributes:
      samples_by_slot: First sample received for each slot.
    """

    def __init__(self, slots: Iterable[SampleSlot]):
        self.samples_by_slot: dict[SampleSlot, Sample] = {}
        self._slots = tuple(slots)
        self._slot_set = frozenset(self._slots)
        self._attempts_by_slot: dict[SampleSlot, list[RunningAttempt]] = {}
        self._hedged: set[SampleSlot] = set()
        self._durations = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)

    def record_attempt_start(self, sample_id: SampleId, now: float) -> None:
        """Records the start of an attempt."""
        attempts = self._attempts_by_slot.setdefault(sample_id.slot, [])
        if attempts:
            self._hedged.add(sample_id.slot)
        attempts.append(RunningAttempt(sample_id, now))

    def record_attempt_end(
        self, sample_id: SampleId, now: float, succeeded: bool
    ) -> None:
        """Records the end of an attempt, and its duration if it succeeded."""
        attempts = self._attempts_by_slot.get(sample_id.slot, [])
        for attempt in [a for a in attempts if a.sample_id == sample_id]:
            attempts.remove(attempt)
            if succeeded:
                duration_ms = int((now - attempt.started) * 1000)
                self._durations.record_value(min(_MAX_MS, max(1, duration_ms)))

    def add(self, sample: Sample) -> bool:
        """Adds a sample.

        Returns:
          False if the slot is not in this step or has a sample already.
        """
        slot = sample.sample_id.slot
        if slot in self.samples_by_slot or slot not in self._slot_set:
            return False
        self.samples_by_slot[slot] = sample
        return True

    @property
    def is_full(self) -> bool:
        """Whether every slot has a sample."""
        return len(self.samples_by_slot) == len(self._slots)

    def samples(self) -> list[Sample]:
        """Returns the samples in slot order."""
        return [
            self.samples_by_slot[slot]
            for slot in self._slots
            if slot in self.samples_by_slot
        ]

    def missing_slots(self) -> list[SampleSlot]:
        """Returns the slots without a sample."""
        return [s for s in self._slots if s not in self.samples_by_slot]

    def drop_stale_samples(
        self, versions: ModelVersions, bound: int
    ) -> list[SampleSlot]:
        """Drops the samples that may not be delivered; returns their slots."""
        stale = [
            slot
            for slot, sample in self.samples_by_slot.items()
            if versions.check(sample.spans, bound) is not None
        ]
        for slot in stale:
            del self.samples_by_slot[slot]
            self._hedged.discard(slot)
        return stale

    def stragglers(
        self, now: float, idle_engine_slots: int
    ) -> list[SampleSlot]:
        """Returns the slots that get a second attempt now.

        A slot is hedged once, when its attempt has run for more than 1.5 times
        the 95th percentile of the finished attempts. Only idle engine slots
        are used, as a second attempt would otherwise delay first attempts. At
        most 5% of a step's slots are hedged.

        With a heavy tail (99th percentile at least twice the median) slots
        are hedged as soon as they exceed the 95th percentile. No other
        samples are generated beyond the number of slots: doing so from the
        start would cost extra tokens in every step, although most steps wait
        for a few slots only.

        Args:
          now: Monotonic time in seconds.
          idle_engine_slots: Number of requests that engines could start now.

        Returns:
          At most `idle_engine_slots` slots, slowest first.
        """
        straggler_age_s = self._straggler_age_s()
        if straggler_age_s is None:
            return []
        running = (
            (attempts[0].started, slot)
            for slot, attempts in self._attempts_by_slot.items()
            if attempts
            and slot not in self.samples_by_slot
            and slot not in self._hedged
        )
        slow = sorted(
            (started, slot)
            for started, slot in running
            if now - started > straggler_age_s
        )
        budget = max(1, int(len(self._slots) * _MAX_HEDGED_SHARE))
        allowed = min(idle_engine_slots, budget - len(self._hedged))
        return [slot for _, slot in slow[: max(0, allowed)]]

    def next_check_s(self, now: float) -> float | None:
        """Returns the seconds until an attempt can become a straggler.

        Returns:
          None if no attempt can become one yet.
        """
        straggler_age_s = self._straggler_age_s()
        starts = [
            attempts[0].started
            for slot, attempts in self._attempts_by_slot.items()
            if attempts and slot not in self._hedged
        ]
        if straggler_age_s is None or not starts:
            return None
        return max(0.0, min(starts) + straggler_age_s - now)

    def _straggler_age_s(self) -> float | None:
        """Returns the minimum age in seconds of a straggler, if known."""
        if self._durations.total_count < _MIN_FINISHED_ATTEMPTS:
            return None
        slow_ms = self._durations.get_value_at_percentile(_HEDGE_PERCENTILE)
        tail_ms = self._durations.get_value_at_percentile(_TAIL_PERCENTILE)
        median_ms = self._durations.get_value_at_percentile(_MEDIAN)
        heavy_tail = tail_ms >= _HEAVY_TAIL_RATIO * median_ms
        return slow_ms / 1000 * (1.0 if heavy_tail else _HEDGE_FACTOR)

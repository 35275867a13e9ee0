"""Counts the usage records of one shard and stores checkpoints of them."""

from collections.abc import Iterable

import orjson
from shallotstand.control.usage_book import (
    UsageCheckpoint,
    count_records,
    new_checkpoint,
    next_checkpoint,
)
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.messages import UsageRecord
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    Change,
    Value,
    decode_value,
    read_object,
    update_object,
)
from shallotstand.platform.protocols import ObjectStore

CHECKPOINT_INTERVAL_S = 5.0
# Records that arrive within this time after a window are counted in it.
RECORD_GRACE_S = 30
# Number of windows in which a new holder looks for the latest checkpoint: one
# day of 5 min windows. Only the first holder of a shard reads that many.
MAX_LOOK_BACK_WINDOWS = 288


def checkpoint_key(window: int, shard: int) -> str:
    """Returns the key of a shard's checkpoint."""
    return f"usage/{window}/{shard}"


class UsageShardCollector:
    """Counts the records of one shard while this process holds its scope.

    The checkpoints form a chain: a window's object is closed by a conditional
    update before the object of the next window is created, whose content
    follows from the closed checkpoint alone. So only one object is open at any
    time, and a write by one holder makes the updates of the others fail. After
    a failed write the checkpoint is read again; records that were not stored
    are sent again, since they were not acknowledged.

    Attributes:
      shard: Number of the shard.
    """

    def __init__(
        self,
        shard: int,
        epoch: int,
        store: ObjectStore,
        clock: Clock,
        window_s: int,
        backoff: Backoff = DEFAULT_BACKOFF,
        grace_s: int | None = None,
    ):
        self._grace_s = RECORD_GRACE_S if grace_s is None else grace_s
        self._backoff = backoff
        self.shard = shard
        self._epoch = epoch
        self._store = store
        self._clock = clock
        self._window_s = window_s
        # Object of the open window as it was last written or read; None if
        # the object does not exist yet.
        self._stored_content: bytes | None = None
        self._checkpoint: UsageCheckpoint | None = None
        self._is_changed = False
        self._is_writing = False
        self._deferred_records: list[tuple[str, tuple[UsageRecord, ...]]] = []
        self._stored_numbers_by_source: dict[str, int] = {}

    @property
    def window(self) -> int | None:
        """Start of the open window, seconds since 1970; None if not loaded."""
        return self._checkpoint["window"] if self._checkpoint else None

    def receive_records(
        self, source: str, records: Iterable[UsageRecord]
    ) -> None:
        """Counts records; ignores them while no checkpoint is loaded.

        Ignored records are not acknowledged, so their source sends them again.
        """
        if self._is_writing:
            # The checkpoint must not change while it is being written,
            # because the next window follows from the stored content.
            self._deferred_records.append((source, tuple(records)))
        elif self._checkpoint is not None:
            changed = count_records(self._checkpoint, source, records)
            self._is_changed |= changed

    def stored_number(self, source: str) -> int:
        """Returns the number up to which a source's records are stored."""
        return self._stored_numbers_by_source.get(source, 0)

    async def write_checkpoint(self) -> Failure | None:
        """Stores the counted records and closes windows that have ended.

        Errors:
          STALE_EPOCH: A later holder has written; this holder must stop.
          VERSION_CONFLICT, STORE_UNAVAILABLE: Call this method again.
        """
        self._is_writing = True
        failure = await self._store_changes()
        self._is_writing = False
        if failure is not None:
            self._checkpoint = None
        deferred, self._deferred_records = self._deferred_records, []
        for source, records in deferred:
            self.receive_records(source, records)
        return failure

    async def read_unreported_windows(self) -> list[UsageCheckpoint] | Failure:
        """Reads the closed windows of which some reports were not accepted.

        Returns:
          The checkpoints, oldest first.
        """
        if self._checkpoint is None:
            return []
        unreported: list[UsageCheckpoint] = []
        for steps in range(1, MAX_LOOK_BACK_WINDOWS):
            window = self._checkpoint["window"] - steps * self._window_s
            checkpoint = await self._read_checkpoint(window)
            if isinstance(checkpoint, Failure):
                return checkpoint
            if checkpoint is None or checkpoint["is_reported"]:
                break
            unreported.append(checkpoint)
        return unreported[::-1]

    async def mark_reported(
        self, checkpoint: UsageCheckpoint
    ) -> Failure | None:
        """Records that every report of a closed window was accepted."""

        def change(value: Value | None) -> Value:
            return {**(value or checkpoint), "is_reported": True}

        return await self._update(checkpoint["window"], change)

    async def _store_changes(self) -> Failure | None:
        failure = None if self._checkpoint else await self._load_newest()
        while failure is None and self._is_window_over():
            failure = await self._close_window()
        if failure is None and self._is_changed:
            failure = await self._write(self._checkpoint)
        return failure

    async def _load_newest(self) -> Failure | None:
        """Continues from the newest checkpoint.

        The checkpoint is written again at once, so that pending writes of an
        earlier holder fail.
        """
        now = self._current_window()
        # The clock of another holder may be ahead.
        newest = now + self._window_s
        for steps in range(MAX_LOOK_BACK_WINDOWS):
            checkpoint = await self._read_checkpoint(
                newest - steps * self._window_s
            )
            if isinstance(checkpoint, Failure):
                return checkpoint
            if checkpoint is not None:
                return await self._continue_from(checkpoint)
        self._stored_content = None
        return await self._write(new_checkpoint(now, self._epoch))

    async def _continue_from(
        self, checkpoint: UsageCheckpoint
    ) -> Failure | None:
        if checkpoint["epoch"] > self._epoch:
            return Failure(
                ResultCode.STALE_EPOCH, "A later holder collects this shard."
            )
        if checkpoint["is_closed"]:
            self._stored_content = None
            return await self._write(
                next_checkpoint(checkpoint, self._window_s, self._epoch)
            )
        self._stored_content = _encode_checkpoint(checkpoint)
        return await self._write({**checkpoint, "epoch": self._epoch})

    async def _close_window(self) -> Failure | None:
        failure = await self._write({**self._checkpoint, "is_closed": True})
        if failure is not None:
            return failure
        following = next_checkpoint(
            self._checkpoint, self._window_s, self._epoch
        )
        self._stored_content = None
        return await self._write(following)

    async def _write(self, checkpoint: UsageCheckpoint) -> Failure | None:
        self._is_changed = False
        numbers = {
            source: state["number"]
            for source, state in checkpoint["sources"].items()
        }
        self._checkpoint = checkpoint

        def change(value: Value | None) -> Value | Failure:
            if value != (
                self._stored_content and orjson.loads(self._stored_content)
            ):
                return Failure(
                    ResultCode.VERSION_CONFLICT,
                    "Another holder wrote the checkpoint.",
                )
            return checkpoint

        content = _encode_checkpoint(checkpoint)
        failure = await self._update(checkpoint["window"], change)
        if failure is None:
            self._stored_content = content
            self._stored_numbers_by_source = numbers
        return failure

    async def _update(self, window: int, change: Change) -> Failure | None:
        written = await update_object(
            self._store,
            checkpoint_key(window, self.shard),
            change,
            backoff=self._backoff,
        )
        if isinstance(written, Failure):
            return written
        if not written.is_latest:
            return Failure(
                ResultCode.VERSION_CONFLICT,
                "The checkpoint has been overwritten since.",
            )
        return None

    async def _read_checkpoint(
        self, window: int
    ) -> UsageCheckpoint | Failure | None:
        stored = await read_object(
            self._store, checkpoint_key(window, self.shard), self._backoff
        )
        if not isinstance(stored, Failure):
            return decode_value(stored.value)
        is_absent = stored.code == ResultCode.OBJECT_NOT_FOUND
        return None if is_absent else stored

    def _current_window(self) -> int:
        now = int(self._clock.wall())
        return now - now % self._window_s

    def _is_window_over(self) -> bool:
        end = self._checkpoint["window"] + self._window_s + self._grace_s
        return self._clock.wall() >= end


def _encode_checkpoint(checkpoint: UsageCheckpoint) -> bytes:
    return orjson.dumps(checkpoint, option=orjson.OPT_SORT_KEYS)

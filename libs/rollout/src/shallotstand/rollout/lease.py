"""Lease of a rollout job in the object store; its holder leads the job."""

import asyncio
from typing import NamedTuple, Protocol

import orjson
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.platform.protocols import ObjectStore, StoredObject

RENEW_INTERVAL_S = 3.0
# Counted from the start of the last successful renewal.
LEASE_DURATION_S = 7.0
# Exceeds LEASE_DURATION_S by more than the clocks drift apart in that time.
TAKE_OVER_AFTER_S = 12.0


class JobLease(Protocol):
    """The exclusive right to lead a job.

    Attributes:
      epoch: Fencing token; each new holder has a higher one.
    """

    epoch: int

    @property
    def is_held(self) -> bool:
        """Whether this process leads the job now."""
        ...

    @property
    def time_left_s(self) -> float:
        """Seconds until the lease expires; 0 if it is not held."""
        ...

    @property
    def holder_address(self) -> str:
        """Address of the holder for trainers; empty if unknown."""
        ...

    async def wait_until_held(self) -> None:
        """Waits until this process leads the job."""
        ...


class _LeaseRecord(NamedTuple):
    """Value of `job-lease/<name>`."""

    holder: str
    address: str
    epoch: int
    renewal: str


class StoreJobLease:
    """A lease that its holder renews in `job-lease/<name>`.

    The lease of each job is renewed separately, unlike the sessions of
    libs/control, which need only one renewal per process.
    """

    def __init__(
        self,
        store: ObjectStore,
        job: str,
        process: str,
        address: str,
        clock: Clock,
    ):
        self.epoch = 0
        self._store = store
        self._key = f"job-lease/{job}"
        self._process = process
        self._address = address
        self._clock = clock
        self._expires_at = 0.0
        self._last_read: StoredObject | None = None
        self._unchanged_since = 0.0
        self._record = _LeaseRecord("", "", 0, "")
        self._acquired = asyncio.Event()

    @property
    def time_left_s(self) -> float:
        """Seconds until the lease expires; 0 if it is not held."""
        return max(0.0, self._expires_at - self._clock.monotonic())

    @property
    def is_held(self) -> bool:
        """Whether this process leads the job now."""
        return self.time_left_s > 0

    @property
    def holder_address(self) -> str:
        """Address of the last known holder."""
        return self._record.address

    async def wait_until_held(self) -> None:
        """Waits until this process leads the job."""
        while not self.is_held:
            self._acquired.clear()
            await self._acquired.wait()

    async def renew_periodically(self) -> None:
        """Renews the lease, or acquires it after it lapsed, until cancelled."""
        while True:
            await self.renew()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def renew(self) -> Failure | None:
        """Renews the lease or tries to acquire it.

        Errors:
          LEASE_HELD: Another process leads the job.
          STORE_UNAVAILABLE: The store did not answer.
        """
        started = self._clock.monotonic()
        stored = await self._store.get(self._key)
        if isinstance(stored, Failure):
            if stored.code != ResultCode.OBJECT_NOT_FOUND:
                return stored
            stored = StoredObject(self._key, 0, b"")
        self._record_stored(stored)
        # A holder whose lease lapsed takes a new epoch. Another process that
        # led the job meanwhile has raised the epoch anyway, but late tasks of
        # this process must be fenced off, too.
        held_here = self._record.holder == self._process and self.is_held
        if not held_here and not self._has_lapsed(stored):
            return Failure(ResultCode.LEASE_HELD, self._record.holder)
        epoch = self._record.epoch if held_here else self._record.epoch + 1
        record = _LeaseRecord(self._process, self._address, epoch, new_id())
        written = await self._store.put(
            self._key, orjson.dumps(list(record)), stored.version
        )
        if isinstance(written, Failure):
            # If only the answer was lost, just this renewal is wasted: the next
            # read returns the written value, and an unconfirmed epoch is never
            # used.
            return written
        self._record_stored(
            StoredObject(self._key, written, orjson.dumps(list(record)))
        )
        self.epoch = epoch
        self._expires_at = started + LEASE_DURATION_S
        self._acquired.set()
        return None

    def _record_stored(self, stored: StoredObject) -> None:
        if self._last_read is None or stored.version != self._last_read.version:
            self._last_read = stored
            self._unchanged_since = self._clock.monotonic()
        if stored.value:
            self._record = _LeaseRecord(*orjson.loads(stored.value))

    def _has_lapsed(self, stored: StoredObject) -> bool:
        unchanged_s = self._clock.monotonic() - self._unchanged_since
        return stored.version == 0 or unchanged_s >= TAKE_OVER_AFTER_S

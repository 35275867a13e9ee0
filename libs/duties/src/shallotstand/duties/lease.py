"""The lease that determines which process performs the duties."""

import asyncio
from typing import NamedTuple, TypedDict

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Document, DocumentStore

LEASE_KIND = "duty-lease"
LEASE_NAME = "main"
# A holder considers the lease valid for this long after the start of its last
# successful renewal.
LEASE_DURATION_S = 4.0
# Calls made under the lease have to arrive this long before it expires. Nobody
# else may check the order of fencing tokens, and a stalled process notices the
# end of a timeout late.
CALL_MARGIN_S = 0.5
# Interval at which the holder renews the lease. Each renewal is a write to the
# store, and writes are billed.
RENEWAL_INTERVAL_S = 1.3
# A standby takes over once the lease has not changed for this long. This is
# longer than LEASE_DURATION_S, since the standby's reads may be stale and show
# the last renewal late; an attempt at an outdated revision fails.
TAKEOVER_DELAY_S = 4.5
# Interval at which a standby reads the lease. These reads are cheap, since they
# may be stale.
POLL_INTERVAL_S = 0.8
# Delay before the next step if the lease is not held after a renewal.
RETRY_INTERVAL_S = 0.4


class LeaseRecord(TypedDict):
    """Content of the lease's document.

    `holder` is the process that holds the lease, or empty; `fence` is the
    fencing token, which increases with each change of the holder; `renewals`
    counts the renewals under this token; `resigned_instances` are the instances
    whose processes released the lease since it last expired.
    """

    holder: str
    fence: int
    renewals: int
    resigned_instances: list[str]


class _Attempt(NamedTuple):
    """A write of the lease that may or may not have taken effect.

    Attributes:
      record: The record that was written.
      started_at: Monotonic seconds at which it was first sent.
    """

    record: LeaseRecord
    started_at: float


class DutyLease:
    """One process's view of the lease.

    Attributes:
      fencing_token: Fencing token under which this process last held the lease.
    """

    def __init__(
        self,
        store: DocumentStore,
        process_id: str,
        instance: str,
        turn_interval_s: float,
        clock: Clock,
    ):
        """Creates the view of one process.

        Args:
          store: The store.
          process_id: Identifier of the process; starts with the name of its
            instance.
          instance: Name of its instance.
          turn_interval_s: Seconds within which two instances must not act as
            holder by turns.
          clock: Source of time.
        """
        self._store = store
        self._process_id = process_id
        self._instance = instance
        self._turn_interval_s = turn_interval_s
        self._clock = clock
        self._document: Document | None = None
        self._attempt: _Attempt | None = None
        self._unchanged_since = clock.monotonic()
        self._valid_until = 0.0
        self._was_held = False
        self._has_resigned = False
        self._is_fenced_off = False
        self.fencing_token = 0

    @property
    def is_held(self) -> bool:
        """Whether this process holds the lease now."""
        return self._clock.monotonic() < self._valid_until

    @property
    def call_budget_s(self) -> float:
        """Seconds within which a call under the lease has to arrive.

        A call that has not arrived by then must be abandoned; none may be
        started if this is 0.
        """
        return max(
            0.0, self._valid_until - CALL_MARGIN_S - self._clock.monotonic()
        )

    async def run(self) -> None:
        """Renews the lease or tries to acquire it, until cancelled."""
        while True:
            pause_s = await self.step()
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Makes one attempt to renew or acquire the lease.

        Returns:
          Seconds until the next step.
        """
        if self.is_held and not self._has_resigned:
            await self._renew()
            pause_s = RENEWAL_INTERVAL_S if self.is_held else RETRY_INTERVAL_S
        else:
            await self._try_acquire()
            pause_s = RENEWAL_INTERVAL_S if self.is_held else POLL_INTERVAL_S
        self._log_change()
        return pause_s

    async def resign(self) -> None:
        """Releases the lease, so that a standby takes over at once.

        This process does not acquire the lease again.
        """
        self._has_resigned = True
        was_held, self._valid_until = self.is_held, 0.0
        self._log_change()
        if was_held and self._document is not None:
            record = {
                **self._document.spec,
                "holder": "",
                "resigned_instances": [
                    *_resigned_instances(self._document.spec),
                    self._instance,
                ],
            }
            await self._store.replace(
                LEASE_KIND, LEASE_NAME, record, self._document.revision
            )

    def step_down(self, reason: str) -> None:
        """Stops acting as holder because a higher fencing token is in use."""
        logs.event(
            logging.WARNING,
            "Fenced off",
            fence=self.fencing_token,
            reason=reason,
        )
        self._valid_until = 0.0
        self._document = None
        self._is_fenced_off = True
        self._unchanged_since = self._clock.monotonic()

    async def _renew(self) -> None:
        record: LeaseRecord = self._document.spec
        await self._write({**record, "renewals": record["renewals"] + 1})

    async def _try_acquire(self) -> None:
        outcome = await self._store.get(
            LEASE_KIND, LEASE_NAME, may_be_stale=True
        )
        if isinstance(outcome, Failure):
            if outcome.code == ResultCode.OBJECT_NOT_FOUND and (
                not self._has_resigned
            ):
                self._document = None
                await self._write(self._new_record(1, []))
            return
        self._observe(outcome)
        if self._has_resigned:
            return
        record: LeaseRecord = outcome.spec
        if not self._can_take_over(record):
            return
        has_expired = record["holder"] and not self._is_own(record["holder"])
        await self._write(
            self._new_record(
                record["fence"] + 1,
                [] if has_expired else _resigned_instances(record),
            )
        )

    def _new_record(
        self, fence: int, resigned_instances: list[str]
    ) -> LeaseRecord:
        return LeaseRecord(
            holder=self._process_id,
            fence=fence,
            renewals=0,
            resigned_instances=resigned_instances,
        )

    def _can_take_over(self, record: LeaseRecord) -> bool:
        unchanged_s = self._clock.monotonic() - self._unchanged_since
        if not record["holder"]:
            # Another instance should take over. Two that resign in turn would
            # otherwise alternate as holders.
            return (
                self._instance not in _resigned_instances(record)
                or unchanged_s >= self._turn_interval_s
            )
        if self._is_own(record["holder"]) and not self._is_fenced_off:
            return True
        return unchanged_s >= TAKEOVER_DELAY_S

    def _is_own(self, holder: str) -> bool:
        """Returns whether a holder is this or an earlier process here.

        An earlier process of this instance can't be running any more. This
        process itself is the holder after a write without a response.
        """
        return holder.rpartition(".")[0] == self._instance

    async def _write(self, record: LeaseRecord) -> None:
        """Writes a record in which this process is the holder."""
        now = self._clock.monotonic()
        if self._attempt is None or self._attempt.record != record:
            self._attempt = _Attempt(record, now)
        if self._document is None:
            outcome = await self._store.create(LEASE_KIND, LEASE_NAME, record)
        else:
            outcome = await self._store.replace(
                LEASE_KIND, LEASE_NAME, record, self._document.revision
            )
        if not isinstance(outcome, Failure):
            self._hold(outcome, now)
        elif outcome.code != ResultCode.STORE_UNAVAILABLE:
            await self._read_back()

    async def _read_back(self) -> None:
        """Reads the lease to determine the holder after a failed write."""
        current = await self._store.get(LEASE_KIND, LEASE_NAME)
        if isinstance(current, Failure):
            return
        if current.spec == self._attempt.record:
            # An earlier write of the same record may have taken effect.
            self._hold(current, self._attempt.started_at)
            return
        self._observe(current)
        if current.spec["holder"] != self._process_id:
            self._valid_until = 0.0

    def _hold(self, document: Document, written_after: float) -> None:
        """Records that this process holds the lease.

        Args:
          document: The lease.
          written_after: Monotonic seconds before which it can't have been
            written.
        """
        self._document = document
        self._attempt = None
        self._is_fenced_off = False
        self._unchanged_since = self._clock.monotonic()
        self.fencing_token = document.spec["fence"]
        self._valid_until = max(
            self._valid_until, written_after + LEASE_DURATION_S
        )

    def _observe(self, document: Document) -> None:
        if (
            self._document is None
            or self._document.revision != document.revision
        ):
            self._unchanged_since = self._clock.monotonic()
        self._document = document

    def _log_change(self) -> None:
        if self.is_held == self._was_held:
            return
        self._was_held = self.is_held
        logs.event(
            logging.INFO,
            "Lease taken" if self.is_held else "Lease lost",
            fence=self.fencing_token,
            revision=self._document.revision if self._document else 0,
        )


def _resigned_instances(record: LeaseRecord) -> list[str]:
    # Records of earlier versions of this program lack the field.
    return record.get("resigned_instances", [])

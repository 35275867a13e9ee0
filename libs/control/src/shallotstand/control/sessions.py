"""Sessions: which processes are alive, by renewed objects in the store."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging
from shallotstand.control.records import (
    ABSENT,
    Record,
    decode_record,
    read_record,
    write_record,
)
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.protocols import ObjectStore, StoredObject

RENEW_INTERVAL_S = 3.0
# For its holder, from the start of the renewal: two renewals may fail.
OWN_EXPIRY_S = 7.0
# For everybody else; the difference covers clocks that run at other rates.
OTHERS_EXPIRY_S = 12.0
PREFIX = "session/"


class SessionId(NamedTuple):
    """A run of a process.

    Attributes:
      process: Name of the process from its settings.
      incarnation: Random identifier of the run.
    """

    process: str
    incarnation: str


class OwnSession:
    """The session of this process.

    Attributes:
      id: Process and incarnation.
      superseded: Whether a later run of the process took the object over.
    """

    def __init__(self, session_id: SessionId, store: ObjectStore, clock: Clock):
        self.id = session_id
        self.superseded = False
        self._store = store
        self._clock = clock
        self._record: Record | None = None
        self._has_written = False
        self._expires_at = clock.monotonic()

    @property
    def time_left(self) -> float:
        """Seconds for which this process may act as a holder; 0 if none."""
        if self.superseded:
            return 0.0
        return max(0.0, self._expires_at - self._clock.monotonic())

    async def renew(self) -> Failure | None:
        """Renews the session by one conditional update.

        Errors:
          VERSION_CONFLICT: Another run of the process wrote; the next call
            tells which is the later one.
          LEASE_LAPSED: A later run of the process took the session over.
          STORE_UNAVAILABLE: No answer in time.
        """
        # The store may hold the answer back, so time counts from the start.
        started = self._clock.monotonic()
        held = self._record or await read_record(
            self._store, PREFIX + self.id.process
        )
        if isinstance(held, Failure):
            return held
        if self._is_taken_over(held):
            return Failure(ResultCode.LEASE_LAPSED, "A later run took over.")
        self._record = None
        written = await write_record(
            self._store, PREFIX + self.id.process, held, self._next(held)
        )
        if isinstance(written, Failure):
            return written
        self._record = written
        # Until then the object may still be that of the run before.
        self._has_written = True
        self._expires_at = started + OWN_EXPIRY_S
        return None

    async def keep(self, on_renewed: Callable[[], None]) -> None:
        """Renews the session until it is taken over or the task cancelled."""
        while not self.superseded:
            failure = await self.renew()
            if failure is None:
                on_renewed()
            else:
                logs.event(logging.WARNING, "No renewal", reason=failure.reason)
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def end(self) -> None:
        """Marks the session as ended, so that others need not wait for it.

        The object stays: deleting it would lose the write ids by which a
        writer recognizes its own write.
        """
        self.superseded = True
        if self._record is not None:
            value = {**self._next(self._record), "has_ended": True}
            key = PREFIX + self.id.process
            await write_record(self._store, key, self._record, value)

    def _is_taken_over(self, held: Record) -> bool:
        """Notes if the object belongs to a run that started later.

        The first renewal of a run takes the object over from the run before.
        """
        owner = held.value.get("incarnation", self.id.incarnation)
        if self._has_written and owner != self.id.incarnation:
            self.superseded = True
        return self.superseded

    def _next(self, held: Record) -> dict[str, object]:
        return {
            "incarnation": self.id.incarnation,
            "renewals": held.value.get("renewals", 0) + 1,
        }


class SessionTable:
    """What this process has seen of all sessions, on its own clock."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records_by_process: dict[str, Record] = {}
        self._seen_at_by_id: dict[SessionId, float] = {}
        self._ended: set[SessionId] = set()
        self._blind = True

    def observe(self, stored: StoredObject | Failure) -> None:
        """Takes what a watch of `session/` yielded."""
        if isinstance(stored, Failure):
            # What can't be seen can't be seen unchanged: times start anew.
            self._blind = True
            self._seen_at_by_id.clear()
            return
        self._blind = False
        process = stored.key.removeprefix(PREFIX)
        record = decode_record(stored)
        before = self._records_by_process.get(process, ABSENT)
        self._records_by_process[process] = record
        if record is ABSENT:
            return
        if record.value.get("has_ended"):
            self._ended.add(_id(process, record))
        elif record.version != before.version:
            self._seen_at_by_id[_id(process, record)] = self._clock.monotonic()

    def is_expired(self, session: SessionId) -> bool:
        """Says whether a session has been unchanged for long enough.

        A session that was never seen counts from the first question on.
        """
        if session in self._ended:
            return True
        if self._blind:
            return False
        now = self._clock.monotonic()
        seen_at = self._seen_at_by_id.setdefault(session, now)
        return now - seen_at >= OTHERS_EXPIRY_S

    def live_processes(self) -> frozenset[str]:
        """Returns the names of the processes whose sessions are not expired."""
        return frozenset(
            process
            for process, record in self._records_by_process.items()
            if record is not ABSENT
            and not self.is_expired(_id(process, record))
        )


def _id(process: str, record: Record) -> SessionId:
    return SessionId(process, record.value["incarnation"])

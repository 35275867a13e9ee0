"""Sessions: store objects that processes renew to show they are alive."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    Value,
    decode_value,
    update_object,
)
from shallotstand.platform.protocols import ObjectStore, StoredObject

RENEW_INTERVAL_S = 3.0
# Validity for the owner, from the start of a renewal; covers two failed
# renewals.
OWN_EXPIRY_S = 7.0
# Validity for other processes; the difference covers clocks that run at
# different rates.
OTHERS_EXPIRY_S = 12.0
SESSION_KEY_PREFIX = "session/"


class SessionId(NamedTuple):
    """Identifies one run of a process.

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
      superseded: Whether the session has ended or a later run of the process
        took it over.
    """

    def __init__(
        self,
        session_id: SessionId,
        store: ObjectStore,
        clock: Clock,
        backoff: Backoff = DEFAULT_BACKOFF,
    ):
        self.id = session_id
        self.superseded = False
        self._store = store
        self._clock = clock
        self._backoff = backoff
        self._has_renewed = False
        self._expires_at = clock.monotonic()

    @property
    def time_left(self) -> float:
        """Seconds for which this process may still act as a holder, or 0."""
        if self.superseded:
            return 0.0
        return max(0.0, self._expires_at - self._clock.monotonic())

    async def renew(self) -> Failure | None:
        """Renews the session by one conditional update.

        Errors:
          VERSION_CONFLICT: Another run of the process wrote concurrently.
          LEASE_LAPSED: A later run of the process took the session over.
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN: The store did not answer in time.
        """
        # The answer may be delayed, so the lease counts from the start of the
        # call.
        started = self._clock.monotonic()
        failure = await self._write(has_ended=False)
        if failure is None:
            # Before the first renewal the object may belong to an earlier run.
            self._has_renewed = True
            self._expires_at = started + OWN_EXPIRY_S
        return failure

    async def renew_periodically(self, on_renewed: Callable[[], None]) -> None:
        """Renews the session until it is superseded or the task is cancelled.

        Args:
          on_renewed: Called after each successful renewal.
        """
        while not self.superseded:
            failure = await self.renew()
            if failure is None:
                on_renewed()
            else:
                logs.event(
                    logging.WARNING,
                    "Session not renewed",
                    reason=failure.reason,
                )
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def end(self) -> None:
        """Marks the session as ended, so that others need not await its expiry.

        The object is kept: deleting it would lose the write ids by which a
        writer recognizes its own write.
        """
        self.superseded = True
        if self._has_renewed:
            await self._write(has_ended=True)

    async def _write(self, has_ended: bool) -> Failure | None:
        def change(current: Value | None) -> Value | Failure:
            current = current or {}
            if self._check_superseded(current):
                return Failure(
                    ResultCode.LEASE_LAPSED,
                    "A later run of the process took over the session.",
                )
            return {
                "incarnation": self.id.incarnation,
                "renewals": current.get("renewals", 0) + 1,
                "has_ended": has_ended,
            }

        key = SESSION_KEY_PREFIX + self.id.process
        written = await update_object(
            self._store, key, change, backoff=self._backoff
        )
        if isinstance(written, Failure):
            return written
        if not written.is_latest:
            return Failure(
                ResultCode.VERSION_CONFLICT,
                "The session has been overwritten since.",
            )
        return None

    def _check_superseded(self, current: Value) -> bool:
        """Sets and returns whether a later run has taken the session over.

        The first renewal of a run takes the object over from the earlier run,
        so another owner counts only after that renewal.
        """
        owner = current.get("incarnation", self.id.incarnation)
        if self._has_renewed and owner != self.id.incarnation:
            self.superseded = True
        return self._has_renewed and owner != self.id.incarnation


class SessionTable:
    """The state of all sessions; this process's clock measures expiry."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._ids_by_process: dict[str, SessionId] = {}
        self._versions_by_process: dict[str, int] = {}
        self._seen_at_by_id: dict[SessionId, float] = {}
        self._ended_sessions: set[SessionId] = set()
        self._is_watch_lost = True

    def receive_session_change(self, stored: StoredObject | Failure) -> None:
        """Records an object or a failure that a watch of `session/` yielded."""
        if isinstance(stored, Failure):
            # Renewals may be missed while the watch is lost, so every session
            # counts as just renewed when the watch resumes.
            self._is_watch_lost = True
            self._seen_at_by_id.clear()
            return
        self._is_watch_lost = False
        if stored.version == 0:
            return
        process = stored.key.removeprefix(SESSION_KEY_PREFIX)
        value = decode_value(stored.value)
        session = SessionId(process, value["incarnation"])
        self._ids_by_process[process] = session
        if value["has_ended"]:
            self._ended_sessions.add(session)
        elif stored.version != self._versions_by_process.get(process):
            self._seen_at_by_id[session] = self._clock.monotonic()
        self._versions_by_process[process] = stored.version

    def is_expired(self, session: SessionId) -> bool:
        """Returns whether a session has ended or was not renewed in time.

        The time of a session that was never seen counts from the first call.
        While the watch is lost no further session expires.
        """
        if session in self._ended_sessions:
            return True
        if self._is_watch_lost:
            return False
        now = self._clock.monotonic()
        seen_at = self._seen_at_by_id.setdefault(session, now)
        return now - seen_at >= OTHERS_EXPIRY_S

    def live_processes(self) -> frozenset[str]:
        """Returns the names of the processes with an unexpired session."""
        return frozenset(
            process
            for process, session in self._ids_by_process.items()
            if not self.is_expired(session)
        )

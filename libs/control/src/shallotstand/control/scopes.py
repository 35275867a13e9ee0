"""Decides which process holds each scope; takes over and releases scopes."""

import enum
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import orjson
from absl import logging
from shallotstand.control.sessions import OwnSession, SessionId, SessionTable
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    Change,
    Value,
    decode_value,
    update_object,
)
from shallotstand.platform.protocols import ObjectStore, StoredObject

SCOPE_KEY_PREFIX = "scope/"
# A holder releases a scope only after another process has been the preferred
# owner for this long, so that a restart elsewhere doesn't move scopes twice.
RELEASE_DELAY_S = 60.0
# A process waits this long for each process ranked before it, so that a
# process that is alive but inactive does not block a takeover.
RANK_DELAY_S = 3.0


class Action(enum.Enum):
    """Action of a process on a scope."""

    NOTHING = "nothing"
    TAKE = "take"
    RELEASE = "release"


class HeldScope(NamedTuple):
    """A scope that this process holds.

    Attributes:
      name: Scope such as `zone/peak-a`.
      epoch: Fencing token, which increases with each takeover.
    """

    name: str
    epoch: int


def rank_processes(scope: str, processes: Iterable[str]) -> list[str]:
    """Ranks processes by rendezvous hashing, the preferred owner first."""

    def weight(process: str) -> bytes:
        pair = f"{scope}\0{process}".encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    return sorted(processes, key=weight, reverse=True)


def holder_session(value: Value) -> SessionId | None:
    """Returns the session of a scope's holder; None if the scope is free."""
    if not value.get("holder"):
        return None
    return SessionId(value["holder"], value["incarnation"])


class ScopePolicy:
    """Decides whether to take or release a scope, without any I/O."""

    def __init__(self, own: SessionId, sessions: SessionTable, clock: Clock):
        self._own_session_id = own
        self._sessions = sessions
        self._clock = clock
        self._free_since_by_scope: dict[str, float] = {}
        self._outranked_since_by_scope: dict[str, float] = {}

    def decide(self, scope: str, value: Value) -> Action:
        """Returns the action on one scope.

        Args:
          scope: Name of the scope.
          value: Scope object as last seen; empty if there is none.
        """
        ranked = rank_processes(
            scope,
            self._sessions.live_processes() | {self._own_session_id.process},
        )
        holder = holder_session(value)
        if holder == self._own_session_id:
            self._free_since_by_scope.pop(scope, None)
            return self._decide_held(scope, ranked)
        self._outranked_since_by_scope.pop(scope, None)
        if holder is not None and not self._sessions.is_expired(holder):
            self._free_since_by_scope.pop(scope, None)
            return Action.NOTHING
        return self._decide_free(scope, ranked)

    def _decide_held(self, scope: str, ranked: list[str]) -> Action:
        if ranked[0] == self._own_session_id.process:
            self._outranked_since_by_scope.pop(scope, None)
            return Action.NOTHING
        now = self._clock.monotonic()
        since = self._outranked_since_by_scope.setdefault(scope, now)
        return (
            Action.RELEASE if now - since >= RELEASE_DELAY_S else Action.NOTHING
        )

    def _decide_free(self, scope: str, ranked: list[str]) -> Action:
        now = self._clock.monotonic()
        since = self._free_since_by_scope.setdefault(scope, now)
        delay = ranked.index(self._own_session_id.process) * RANK_DELAY_S
        return Action.TAKE if now - since >= delay else Action.NOTHING


class ScopeKeeper:
    """Takes over and releases scopes for this process.

    Attributes:
      held_by_name: Scopes that this process holds.
    """

    def __init__(
        self,
        session: OwnSession,
        sessions: SessionTable,
        store: ObjectStore,
        clock: Clock,
        backoff: Backoff = DEFAULT_BACKOFF,
    ):
        self.held_by_name: dict[str, HeldScope] = {}
        self._session = session
        self._sessions = sessions
        self._store = store
        self._policy = ScopePolicy(session.id, sessions, clock)
        self._backoff = backoff
        self._values_by_name: dict[str, Value] = {}

    def receive_scope_change(self, stored: StoredObject | Failure) -> None:
        """Records an object or a failure that a watch of `scope/` yielded."""
        if isinstance(stored, Failure) or stored.version == 0:
            return
        name = stored.key.removeprefix(SCOPE_KEY_PREFIX)
        value = _decode_scope(stored)
        if value is None:
            return
        if value["epoch"] < self._last_value(name).get("epoch", 0):
            return  # the watch lags behind this process's own takeover
        self._values_by_name[name] = value
        held = self.held_by_name.get(name)
        if held and value["epoch"] > held.epoch:
            del self.held_by_name[name]

    def holders(self) -> dict[str, tuple[str, int]]:
        """Returns the holder and epoch by scope, for all scopes seen.

        The holder's name is empty while a scope is free.
        """
        return {
            name: (value.get("holder", ""), value["epoch"])
            for name, value in sorted(self._values_by_name.items())
        }

    async def update_held_scopes(self, wanted: Iterable[str]) -> None:
        """Takes over and releases scopes as the policy decides.

        Args:
          wanted: Names of all scopes that should have a holder.
        """
        for name in wanted:
            value = self._last_value(name)
            action = self._policy.decide(name, value)
            if holder_session(value) == self._session.id and (
                name not in self.held_by_name
            ):
                # The answer to a takeover or release was lost.
                action = Action.TAKE
            if action is Action.TAKE and self._session.time_left > 0:
                await self.take_scope(name)
            elif action is Action.RELEASE and name in self.held_by_name:
                await self.release_scope(name)

    async def take_scope(self, name: str) -> HeldScope | Failure:
        """Takes over a scope with the next epoch.

        Errors:
          LEASE_HELD: A live session holds the scope.
          LEASE_LAPSED: This process's own session has no time left.
          VERSION_CONFLICT: Another process took over the scope first.
          STORE_UNAVAILABLE: The store did not answer; the scope is not held.
        """
        if self._session.time_left <= 0:
            return Failure(
                ResultCode.LEASE_LAPSED,
                "The session of this process has expired.",
            )
        value = await self._update(name, self._claim)
        if isinstance(value, Failure):
            return value
        held = HeldScope(name, value["epoch"])
        self._values_by_name[name] = value
        self.held_by_name[name] = held
        return held

    async def release_scope(self, name: str) -> Failure | None:
        """Releases a scope; the epoch is kept, so that epochs only increase."""
        held = self.held_by_name.pop(name, None)
        if held is None:
            return None

        def free(value: Value | None) -> Value | Failure:
            return check_holder(value, held, self._session.id) or {
                **value,
                "holder": "",
                "incarnation": "",
            }

        written = await self._update(name, free)
        return written if isinstance(written, Failure) else None

    async def _update(self, name: str, change: Change) -> Value | Failure:
        written = await update_object(
            self._store, SCOPE_KEY_PREFIX + name, change, backoff=self._backoff
        )
        if isinstance(written, Failure):
            return written
        if not written.is_latest:
            return Failure(
                ResultCode.VERSION_CONFLICT,
                "The scope has been overwritten since.",
            )
        return written.value

    def _last_value(self, name: str) -> Value:
        return self._values_by_name.get(name, {})

    def _claim(self, value: Value | None) -> Value | Failure:
        value = value or {}
        holder = holder_session(value)
        if holder not in (None, self._session.id) and (
            not self._sessions.is_expired(holder)
        ):
            return Failure(
                ResultCode.LEASE_HELD, f"{holder.process} holds the scope."
            )
        return {
            **value,
            "holder": self._session.id.process,
            "incarnation": self._session.id.incarnation,
            "epoch": value.get("epoch", 0) + 1,
        }


def check_holder(
    value: Value | None, held: HeldScope, own: SessionId
) -> Failure | None:
    """Checks that this process still holds a scope with the same epoch.

    Errors:
      STALE_EPOCH: Another process took the scope over.
    """
    value = value or {}
    if holder_session(value) == own and value["epoch"] == held.epoch:
        return None
    return Failure(ResultCode.STALE_EPOCH, f"{held.name} was taken over.")


def _decode_scope(stored: StoredObject) -> Value | None:
    """Decodes a scope object; None if the object is malformed.

    A malformed object must not end the watch, which would end every
    controller.
    """
    value = orjson.loads(stored.value)
    if isinstance(value, dict) and isinstance(value.get("epoch"), int):
        return decode_value(stored.value)
    logs.event(logging.ERROR, "Malformed scope object", key=stored.key)
    return None

"""Sends the orders of a scope's holder, one at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from shallotstand.control.scopes import (
    SCOPE_KEY_PREFIX,
    HeldScope,
    check_holder,
)
from shallotstand.control.sessions import OwnSession
from shallotstand.control.watchdog import Watchdog
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.core.ids import new_id
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    Value,
    decode_value,
    read_object,
    update_object,
)
from shallotstand.platform.protocols import ObjectStore

MAX_ORDER_S = 10.0
# An order ends this long before the lease, so that its result can still be
# recorded before the watchdog fires.
LEASE_MARGIN_S = 0.5


class FencedOrder(NamedTuple):
    """The part of an order that its receiver checks.

    Attributes:
      scope: Scope whose holder sends the order.
      epoch: Fencing token, which increases with each takeover.
      order_id: Identifier of the order.
      timeout_s: Seconds from the send until the order expires.
    """

    scope: str
    epoch: int
    order_id: str
    timeout_s: float


class OrderReceiver(Protocol):
    """Receives the orders of one scope."""

    async def send_order(self, ticket: FencedOrder) -> Failure | None:
        """Sends an order, which can't take effect after its timeout."""
        ...

    async def fetch_order_effects(self, scope: str) -> Failure | None:
        """Reads the effects of earlier orders."""
        ...


class OrderSender:
    """Sends orders in four steps: record intent, check, send, record result.

    Orders of one scope are sent one at a time. All scopes share the session
    and therefore the watchdog, which is armed while any order is in flight.
    """

    def __init__(
        self,
        session: OwnSession,
        store: ObjectStore,
        watchdog: Watchdog,
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        backoff: Backoff = DEFAULT_BACKOFF,
    ):
        self._backoff = backoff
        self._session = session
        self._store = store
        self._watchdog = watchdog
        self._clock = clock
        self._sleep = sleep
        self._orders_in_flight = 0
        self._locks_by_scope: dict[str, asyncio.Lock] = {}

    def on_renewed(self) -> None:
        """Extends the watchdog, if armed, to the end of the renewed lease."""
        if self._orders_in_flight:
            self._watchdog.arm(self._session.time_left)

    async def send_order(
        self, held: HeldScope, receiver: OrderReceiver, timeout_s: float
    ) -> Failure | None:
        """Sends one order.

        Args:
          held: Scope that sends the order, with its epoch.
          receiver: Receiver of the order.
          timeout_s: Lifetime of the order in seconds, at most MAX_ORDER_S.

        Errors:
          STALE_EPOCH: Another process holds the scope; nothing was sent.
          LEASE_LAPSED: Too little of the lease is left; nothing was sent.
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN: The intent is not known to be
            recorded; nothing was sent.
          Others: Result from the receiver.
        """
        lock = self._locks_by_scope.setdefault(held.name, asyncio.Lock())
        async with lock:
            failure = await self._resolve_open_intent(held, receiver)
            if failure is not None:
                return failure
            if self._session.time_left <= LEASE_MARGIN_S:
                return _LEASE_LAPSED
            self._arm()
            try:
                return await self._record_and_send(held, receiver, timeout_s)
            finally:
                self._disarm()

    async def _record_and_send(
        self, held: HeldScope, receiver: OrderReceiver, timeout_s: float
    ) -> Failure | None:
        order_id = new_id()
        lifetime_s = min(timeout_s, MAX_ORDER_S)
        intent = {"order_id": order_id, "timeout_s": lifetime_s}
        failure = await self._update_intent(held, intent, None)
        if failure is not None:
            return failure
        lifetime_s = min(lifetime_s, self._session.time_left - LEASE_MARGIN_S)
        if lifetime_s <= 0:
            return _LEASE_LAPSED
        ticket = FencedOrder(held.name, held.epoch, order_id, lifetime_s)
        result = await self._send_with_timeout(receiver, ticket)
        if result is None or result.code not in _UNKNOWN_OUTCOME_CODES:
            await self._update_intent(held, None, order_id)
        return result

    async def _send_with_timeout(
        self, receiver: OrderReceiver, ticket: FencedOrder
    ) -> Failure | None:
        try:
            async with asyncio.timeout(ticket.timeout_s):
                return await receiver.send_order(ticket)
        except TimeoutError:
            return Failure(
                ResultCode.OUTCOME_UNKNOWN,
                "The receiver returned no result in time.",
            )

    async def _update_intent(
        self, held: HeldScope, intent: Value | None, closed_order_id: str | None
    ) -> Failure | None:
        """Opens an intent, or closes the intent of the given order."""

        def change(value: Value | None) -> Value | Failure:
            failure = check_holder(value, held, self._session.id)
            if failure is not None:
                return failure
            open_order_id = (value.get("intent") or {}).get("order_id")
            if open_order_id != closed_order_id:
                return Failure(
                    ResultCode.VERSION_CONFLICT,
                    "The scope has another open intent.",
                )
            return {**value, "intent": intent}

        try:
            # A slow store must not keep the order open until the watchdog
            # fires: an open intent delays the next order.
            async with asyncio.timeout(self._session.time_left * 0.5):
                written = await update_object(
                    self._store,
                    SCOPE_KEY_PREFIX + held.name,
                    change,
                    backoff=self._backoff,
                )
        except TimeoutError:
            return Failure(
                ResultCode.STORE_UNAVAILABLE,
                "The store did not answer in time.",
            )
        if isinstance(written, Failure):
            return written
        if not written.is_latest:
            return Failure(
                ResultCode.STALE_EPOCH, "The scope has been overwritten since."
            )
        return None

    async def _resolve_open_intent(
        self, held: HeldScope, receiver: OrderReceiver
    ) -> Failure | None:
        """Waits until an order with an open intent can't take effect any more.

        The wait starts when the intent is read, so clocks of different
        processes are not compared. An order of this process without a known
        result is treated in the same way.
        """
        stored = await read_object(
            self._store, SCOPE_KEY_PREFIX + held.name, self._backoff
        )
        if isinstance(stored, Failure):
            return stored
        value = decode_value(stored.value)
        failure = check_holder(value, held, self._session.id)
        intent = value.get("intent")
        if failure is not None or not intent:
            return failure
        await self._sleep(min(intent["timeout_s"], MAX_ORDER_S))
        failure = await receiver.fetch_order_effects(held.name)
        if failure is not None:
            return failure
        return await self._update_intent(held, None, intent["order_id"])

    def _arm(self) -> None:
        self._orders_in_flight += 1
        self._watchdog.arm(self._session.time_left)

    def _disarm(self) -> None:
        self._orders_in_flight -= 1
        if self._orders_in_flight == 0:
            self._watchdog.disarm()


_LEASE_LAPSED = Failure(
    ResultCode.LEASE_LAPSED, "Too little of the lease is left."
)
_UNKNOWN_OUTCOME_CODES = (
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.LINK_LOST,
    ResultCode.STORE_UNAVAILABLE,
)

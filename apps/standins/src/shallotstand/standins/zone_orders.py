"""A small stand-in for the interface on which endpoints are ordered."""

import collections
from typing import NamedTuple

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.protocols import ZoneOrder

CHECKS = ("epoch", "deadline", "none")


class ReceivedOrder(NamedTuple):
    """An order as it arrived.

    Attributes:
      order: The order with its sender's epoch.
      at: Wall-clock time of its arrival.
      code: Result that was answered.
    """

    order: ZoneOrder
    at: float
    code: int


class StandinZoneOrders:
    """Keeps counts by zone and service and records every order.

    Attributes:
      received: Every order that arrived, in order, refused ones included.
    """

    def __init__(self, checks: str, clock: Clock):
        """Initializes the stand-in.

        Args:
          checks: One of CHECKS; what an order is refused for.
          clock: Wall clock of the deadline check.
        """
        self.received: list[ReceivedOrder] = []
        self._checks = checks
        self._clock = clock
        self._epochs_by_zone: collections.Counter[str] = collections.Counter()
        self._counts_by_zone: dict[str, dict[str, int]] = {}
        self._results_by_id: dict[str, Failure | None] = {}

    async def order(self, order: ZoneOrder) -> Failure | None:
        """Takes an order that was sent just now."""
        return self.receive(order, self._clock.wall() + order.timeout_s)

    def receive(self, order: ZoneOrder, expires_at: float) -> Failure | None:
        """Takes an order.

        Args:
          order: The order.
          expires_at: Wall-clock time at which it expires.

        Errors:
          STALE_EPOCH, ORDER_EXPIRED: Where these are checked.
          PLATFORM_REFUSED: The count is negative.
        """
        if order.order_id not in self._results_by_id:
            result = self._carry_out(order, expires_at)
            self._results_by_id[order.order_id] = result
        result = self._results_by_id[order.order_id]
        code = result.code if result else ResultCode.OK
        self.received.append(
            ReceivedOrder(order, self._clock.wall(), int(code))
        )
        return result

    async def read(self, zone: str) -> dict[str, int] | Failure:
        """Returns the ordered number of endpoints by service."""
        return dict(self._counts_by_zone.get(zone, {}))

    def _carry_out(self, order: ZoneOrder, expires_at: float) -> Failure | None:
        if self._checks == "epoch" and (
            order.epoch < self._epochs_by_zone[order.zone]
        ):
            return Failure(ResultCode.STALE_EPOCH, "A higher epoch was seen.")
        if self._checks == "deadline" and self._clock.wall() > expires_at:
            return Failure(ResultCode.ORDER_EXPIRED, "The order came late.")
        if order.count < 0:
            return Failure(ResultCode.PLATFORM_REFUSED, "Negative count.")
        highest = max(order.epoch, self._epochs_by_zone[order.zone])
        self._epochs_by_zone[order.zone] = highest
        counts = self._counts_by_zone.setdefault(order.zone, {})
        counts[order.service] = order.count
        return None

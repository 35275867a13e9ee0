"""Refuses orders of superseded holders and orders that come too late."""

from collections.abc import Mapping

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.protocols import EngineOrder
from shallotstand.link.messages import Order, OrderResult
from shallotstand.sidecar.endpoint import LocalEndpoint

# A restart loses the highest epochs, so the gate stays closed for the longest
# lifetime of an order: whatever was sent before has expired when it opens.
CLOSED_AFTER_START_S = 10.0

# This order is for the sidecar itself: the engine only loses its work.
DRAIN = "drain"

_CLOSED = Failure(
    ResultCode.ORDER_GATE_CLOSED, "The sidecar started too recently."
)
_EXPIRED = Failure(ResultCode.ORDER_EXPIRED, "The order's time is over.")


class OrderGate:
    """Passes valid orders on to the engines of this instance."""

    def __init__(
        self, endpoints_by_name: Mapping[str, LocalEndpoint], clock: Clock
    ):
        self._endpoints_by_name = endpoints_by_name
        self._clock = clock
        self._opens_at = clock.monotonic() + CLOSED_AFTER_START_S
        self._epoch_by_scope: dict[str, int] = {}

    def admit(self, order: Order) -> Failure | None:
        """Checks an order on arrival and notes its epoch.

        The epoch counts even if the order is refused: it shows that a later
        holder exists.

        Errors:
          STALE_EPOCH: A holder with a higher epoch has given an order.
          ORDER_GATE_CLOSED: The sidecar started less than 10 s ago.
          ORDER_EXPIRED: The order's time is over.
        """
        highest = self._epoch_by_scope.get(order.scope, 0)
        if order.epoch < highest:
            return Failure(ResultCode.STALE_EPOCH, f"Epoch {highest} was seen.")
        self._epoch_by_scope[order.scope] = order.epoch
        if self._clock.monotonic() < self._opens_at:
            return _CLOSED
        return _EXPIRED if self._time_left_s(order) <= 0 else None

    async def carry_out(self, order: Order) -> OrderResult:
        """Checks an order and has the engine carry it out.

        Errors are those of `admit`, of the engine, and ORDER_FAILED if the
        endpoint is not here.
        """
        failure = self.admit(order) or await self._pass_on(order)
        if failure is None:
            return OrderResult(order.order_id, ResultCode.OK)
        return OrderResult(order.order_id, failure.code, failure.reason)

    async def _pass_on(self, order: Order) -> Failure | None:
        endpoint = self._endpoints_by_name.get(order.endpoint)
        if endpoint is None:
            return Failure(ResultCode.ORDER_FAILED, "No such endpoint here.")
        # No await stands between this reading of the clock and the send.
        time_left_s = self._time_left_s(order)
        if time_left_s <= 0:
            return _EXPIRED
        if order.action == DRAIN:
            # The next load report tells the entries.
            endpoint.leave()
            return None
        return await endpoint.engine.order(
            EngineOrder(order.action, order.argument, order.epoch, time_left_s)
        )

    def _time_left_s(self, order: Order) -> float:
        return order.expires_ms / 1000 - self._clock.monotonic()

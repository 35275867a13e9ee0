"""Refuses orders of superseded holders and expired orders."""

from collections.abc import Mapping

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.protocols import EngineOrder
from shallotstand.link.messages import Order, OrderResult
from shallotstand.sidecar.endpoint import LocalEndpoint

# A restart loses the highest epochs, so the gate stays closed for the longest
# lifetime of an order. Every order sent before the restart has expired when the
# gate opens.
CLOSED_AFTER_START_S = 10.0

# Action of orders that the sidecar executes itself: the engine gets no new
# requests.
DRAIN = "drain"

_CLOSED = Failure(
    ResultCode.ORDER_GATE_CLOSED,
    "The sidecar started too recently to accept orders.",
)
_EXPIRED = Failure(ResultCode.ORDER_EXPIRED, "The order has expired.")


class OrderGate:
    """Checks orders and forwards valid ones to the engines of this instance."""

    def __init__(
        self, endpoints_by_name: Mapping[str, LocalEndpoint], clock: Clock
    ):
        self._endpoints_by_name = endpoints_by_name
        self._clock = clock
        self._opening_time = clock.monotonic() + CLOSED_AFTER_START_S
        self._epoch_by_scope: dict[str, int] = {}

    def admit(self, order: Order) -> Failure | None:
        """Checks an order on arrival and records its epoch.

        The epoch is recorded even if the order is refused as too early or
        expired, since it shows that a later holder exists.

        Errors:
          STALE_EPOCH: A holder with a higher epoch has sent an order.
          ORDER_GATE_CLOSED: The sidecar started less than 10 s ago.
          ORDER_EXPIRED: The order has expired.
        """
        highest = self._epoch_by_scope.get(order.scope, 0)
        if order.epoch < highest:
            return Failure(
                ResultCode.STALE_EPOCH,
                f"An order of epoch {highest} was received.",
            )
        self._epoch_by_scope[order.scope] = order.epoch
        if self._clock.monotonic() < self._opening_time:
            return _CLOSED
        return _EXPIRED if self._time_left_s(order) <= 0 else None

    async def execute(self, order: Order) -> OrderResult:
        """Checks an order and executes it.

        The engine executes all orders except drain orders, which the sidecar
        executes itself.
        The result has the errors of `admit` and of the engine, or ORDER_FAILED
        if the endpoint is not on this instance.
        """
        failure = self.admit(order) or await self._forward(order)
        if failure is None:
            return OrderResult(order.order_id, ResultCode.OK)
        return OrderResult(order.order_id, failure.code, failure.reason)

    async def _forward(self, order: Order) -> Failure | None:
        endpoint = self._endpoints_by_name.get(order.endpoint)
        if endpoint is None:
            return Failure(
                ResultCode.ORDER_FAILED, "The endpoint is not on this instance."
            )
        # There must be no await between this clock reading and the send.
        time_left_s = self._time_left_s(order)
        if time_left_s <= 0:
            return _EXPIRED
        if order.action == DRAIN:
            # The next load report notifies the entries.
            endpoint.mark_leaving()
            return None
        return await endpoint.engine.order(
            EngineOrder(order.action, order.argument, order.epoch, time_left_s)
        )

    def _time_left_s(self, order: Order) -> float:
        return order.expires_ms / 1000 - self._clock.monotonic()

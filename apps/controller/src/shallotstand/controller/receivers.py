"""Receivers of a controller's orders: sidecars and the zone-order interface."""

import asyncio

from shallotstand.control.orders import FencedOrder
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.messages import Order, OrderResult
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.platform.protocols import ZoneOrder, ZoneOrders


class PendingOrders:
    """Orders to sidecars that wait for their results."""

    def __init__(self) -> None:
        self._futures_by_id: dict[str, asyncio.Future[Failure | None]] = {}

    def receive_result(self, result: OrderResult) -> None:
        """Ends the wait for a result; ignores a result that comes too late."""
        future = self._futures_by_id.get(result.order_id)
        if future is not None and not future.done():
            is_ok = result.code == ResultCode.OK
            future.set_result(
                None
                if is_ok
                else Failure(ResultCode(result.code), result.reason)
            )

    async def send_and_wait(
        self, peer: PeerConnection, order: Order
    ) -> Failure | None:
        """Sends an order and waits for its result.

        Errors:
          LINK_LOST: The connection is closed; nothing was sent.
          Others: The error that the sidecar answered.
        """
        future = asyncio.get_running_loop().create_future()
        self._futures_by_id[order.order_id] = future
        try:
            if not peer.send(order):
                return Failure(
                    ResultCode.LINK_LOST, "The connection is closed."
                )
            return await future
        finally:
            del self._futures_by_id[order.order_id]


class EngineOrderReceiver:
    """The sidecar of an endpoint as the receiver of one order."""

    def __init__(
        self,
        peer_connections: PeerConnectionManager,
        pending_orders: PendingOrders,
        sidecar: str,
        endpoint: str,
        action: str,
        argument: str,
    ):
        self._peer_connections = peer_connections
        self._pending_orders = pending_orders
        self._sidecar = sidecar
        self._endpoint = endpoint
        self._action = action
        self._argument = argument

    async def send_order(self, ticket: FencedOrder) -> Failure | None:
        """Sends the order, with its expiry as a time of the sidecar's clock.

        Errors:
          ORDER_FAILED: The sidecar is not connected, or its clock is unknown.
          Others: Those of `PendingOrders.send_and_wait`.
        """
        peer = self._peer_connections.connections_by_id.get(self._sidecar)
        now_ms = peer.peer_monotonic_ms if peer else None
        if now_ms is None:
            return Failure(
                ResultCode.ORDER_FAILED,
                "The sidecar is not connected or its clock is unknown.",
            )
        # Otherwise the kernel may still deliver the order after the lease ends.
        peer.link.set_tcp_user_timeout(ticket.timeout_s)
        order = Order(
            order_id=ticket.order_id,
            scope=ticket.scope,
            epoch=ticket.epoch,
            endpoint=self._endpoint,
            action=self._action,
            argument=self._argument,
            expires_ms=now_ms + int(ticket.timeout_s * 1000),
        )
        return await self._pending_orders.send_and_wait(peer, order)

    async def fetch_order_effects(self, scope: str) -> Failure | None:
        """Does nothing: the Load messages report the effects of orders."""
        del scope


class ZoneOrderReceiver:
    """The zone-order interface as the receiver of one order.

    The order sets the number of endpoints of a service in a zone.
    """

    def __init__(self, orders: ZoneOrders, zone: str, service: str, count: int):
        self._orders = orders
        self._zone = zone
        self._service = service
        self._count = count

    async def send_order(self, ticket: FencedOrder) -> Failure | None:
        """Sends the order to the zone-order interface."""
        return await self._orders.order(
            ZoneOrder(
                self._zone,
                self._service,
                self._count,
                ticket.epoch,
                ticket.order_id,
                ticket.timeout_s,
            )
        )

    async def fetch_order_effects(self, scope: str) -> Failure | None:
        """Checks that the orders of the zone can be read."""
        del scope
        state = await self._orders.read(self._zone)
        return state if isinstance(state, Failure) else None

"""Client of the interface on which endpoints are ordered."""

from urllib.parse import quote

import orjson
from shallotstand.core.clock import Clock, SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.http_caller import (
    HttpCaller,
    unavailable,
    unexpected,
)
from shallotstand.platform.protocols import ZoneOrder

_CODE_BY_STATUS = {
    409: ResultCode.STALE_EPOCH,
    410: ResultCode.ORDER_EXPIRED,
}


class HttpZoneOrders:
    """Zone orders at an HTTP address."""

    def __init__(self, url: str, clock: Clock | None = None):
        """Initializes the client.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
          clock: Gives the wall-clock time of an order's expiry.
        """
        self._caller = HttpCaller(url)
        self._clock = clock or SystemClock()

    async def order(self, order: ZoneOrder) -> Failure | None:
        """Gives an order; the call ends when the order expires."""
        # The platform's clock differs from ours by less than its tolerance;
        # a relative time would let a delayed message live longer.
        body = order._asdict() | {
            "expires_at": self._clock.wall() + order.timeout_s
        }
        reply = await self._caller.call(
            "POST",
            f"/zones/{quote(order.zone)}/orders",
            timeout_s=order.timeout_s,
            data=orjson.dumps(body),
        )
        if isinstance(reply, Failure):
            return Failure(ResultCode.OUTCOME_UNKNOWN, reply.reason)
        if reply.status == 200:
            return None
        reason = reply.body.decode(errors="replace")
        if reply.status >= 500:
            return Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        code = _CODE_BY_STATUS.get(reply.status, ResultCode.PLATFORM_REFUSED)
        return Failure(code, reason)

    async def read(self, zone: str) -> dict[str, int] | Failure:
        """Returns the ordered number of endpoints by service."""
        reply = await self._caller.call("GET", f"/zones/{quote(zone)}")
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return unexpected(reply)
        try:
            counts = orjson.loads(reply.body)
            return {str(name): int(count) for name, count in counts.items()}
        except (ValueError, TypeError, AttributeError) as error:
            return unavailable(f"Not counts by service: {error}")

    async def close(self) -> None:
        """Closes the connections."""
        await self._caller.close()

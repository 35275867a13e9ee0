"""HTTP front of the stand-ins for the platform's interfaces."""

from typing import NamedTuple
from urllib.parse import unquote

import orjson
from sanic import Request, Sanic
from sanic.response import HTTPResponse, empty, raw
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.protocols import Instance, ZoneOrder
from shallotstand.standins.instance_list import StandinInstanceList
from shallotstand.standins.object_store import StandinObjectStore
from shallotstand.standins.store_http import add_store_routes
from shallotstand.standins.usage_sink import StandinUsageSink
from shallotstand.standins.weight_store import StandinWeightStore
from shallotstand.standins.zone_orders import StandinZoneOrders

_JSON = "application/json"
_STATUS_BY_CODE = {
    ResultCode.STALE_EPOCH: 409,
    ResultCode.ORDER_EXPIRED: 410,
    ResultCode.PLATFORM_REFUSED: 400,
    ResultCode.RATE_LIMITED: 429,
    ResultCode.OBJECT_NOT_FOUND: 404,
}


class Platform(NamedTuple):
    """The stand-ins that one HTTP front serves."""

    store: StandinObjectStore
    zone_orders: StandinZoneOrders
    usage_sink: StandinUsageSink
    instance_list: StandinInstanceList
    weight_store: StandinWeightStore


def make_platform_app(name: str, platform: Platform) -> Sanic:
    """Returns the application of a platform.

    Args:
      name: Name of the application, unique in the process.
      platform: The stand-ins.
    """
    app = Sanic(name, configure_logging=False)
    # Sanic rewrites its own methods once a process; several apps live here.
    app.config.TOUCHUP = False
    add_store_routes(app, platform.store)
    _add_order_routes(app, platform.zone_orders)
    _add_usage_routes(app, platform.usage_sink)
    _add_instance_routes(app, platform.instance_list)
    _add_weight_routes(app, platform.weight_store)
    return app


def _add_order_routes(app: Sanic, orders: StandinZoneOrders) -> None:
    @app.post("/zones/<zone>/orders")
    async def order(request: Request, zone: str) -> HTTPResponse:
        fields = dict(request.json)
        expires_at = fields.pop("expires_at")
        received = ZoneOrder(**fields | {"zone": unquote(zone)})
        return _outcome(orders.receive(received, expires_at))

    @app.get("/zones/<zone>")
    async def read_counts(_: Request, zone: str) -> HTTPResponse:
        return _json(await orders.read(unquote(zone)))

    @app.get("/record/orders")
    async def order_record(_: Request) -> HTTPResponse:
        return _json(
            [
                received.order._asdict()
                | {"at": received.at, "code": received.code}
                for received in orders.received
            ]
        )


def _add_usage_routes(app: Sanic, sink: StandinUsageSink) -> None:
    @app.put("/usage/<account>/<window:int>")
    async def report(
        request: Request, account: str, window: int
    ) -> HTTPResponse:
        return _outcome(
            await sink.report(unquote(account), window, request.body)
        )

    @app.get("/record/usage")
    async def usage_record(_: Request) -> HTTPResponse:
        return _json(
            {
                "reports": [
                    {
                        "account": account,
                        "window": window,
                        "body": body.decode(),
                    }
                    for (account, window), body in sorted(
                        sink.reports_by_window.items()
                    )
                ],
                "conflicts": sink.conflicts,
                "repeats": sink.repeats,
            }
        )


def _add_instance_routes(app: Sanic, instances: StandinInstanceList) -> None:
    @app.get("/instances")
    async def list_instances(_: Request) -> HTTPResponse:
        shown = await instances.instances()
        return _json([instance._asdict() for instance in shown])

    @app.put("/instances")
    async def replace(request: Request) -> HTTPResponse:
        instances.set(Instance(**fields) for fields in request.json)
        return empty()


def _add_weight_routes(app: Sanic, weights: StandinWeightStore) -> None:
    @app.get("/weights/<key:path>")
    async def fetch(_: Request, key: str) -> HTTPResponse:
        fetched = await weights.fetch(unquote(key))
        if isinstance(fetched, Failure):
            return _outcome(fetched)
        return raw(fetched)


def _json(value: object) -> HTTPResponse:
    return raw(orjson.dumps(value), content_type=_JSON)


def _outcome(failure: Failure | None) -> HTTPResponse:
    if failure is None:
        return raw(b"")
    return raw(failure.reason.encode(), status=_STATUS_BY_CODE[failure.code])

"""Drains endpoints and instances; independent of HTTP."""

from typing import NamedTuple, TypedDict

from shallotstand.controller.controller import Controller
from shallotstand.controller.receivers import EngineOrderReceiver
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import ErrorDetail, Failure

_DRAIN_ACTION = "drain"
_ORDER_TIMEOUT_S = 3.0


class DrainResponse(TypedDict):
    """Names of the endpoints that no longer get new requests."""

    drained: list[str]


class _Target(NamedTuple):
    """An endpoint whose sidecar is connected to this controller."""

    name: str
    service: str
    sidecar: str


async def drain(controller: Controller, name: str) -> DrainResponse | Failure:
    """Drains an endpoint, or every endpoint of an instance.

    Requests in progress finish. The endpoint stays out of use until its
    sidecar is restarted.

    Args:
      controller: Controller that holds the scopes of the endpoints' services.
      name: Name of an endpoint or, if no endpoint has the name, of an instance.

    Errors:
      OBJECT_NOT_FOUND: No connected endpoint has this name, or runs on an
        instance of this name.
      LEASE_HELD: Another controller holds the scope; the reason names that
        controller.
      Others: Those of `OrderSender.send_order`; the details name the endpoints
        that were not drained.
    """
    targets = _find_targets(controller, name)
    if not targets:
        return Failure(
            ResultCode.OBJECT_NOT_FOUND,
            f"No connected endpoint or instance is named {name}.",
        )
    failures = {
        target.name: await _drain_endpoint(controller, target)
        for target in targets
    }
    failed = {name: f for name, f in failures.items() if f is not None}
    if not failed:
        return DrainResponse(drained=sorted(failures))
    first = next(iter(failed.values()))
    details = (ErrorDetail(f.code, n, f.reason) for n, f in failed.items())
    return first._replace(details=tuple(details))


def _find_targets(controller: Controller, name: str) -> list[_Target]:
    connected = [
        _Target(info.name, info.service, peer.hello.process_id)
        for peer in controller.peer_connections.peers("sidecar")
        for info in peer.hello.endpoints
    ]
    by_endpoint = [target for target in connected if target.name == name]
    if by_endpoint:
        return by_endpoint
    on_instance = {
        endpoint.name
        for service in controller.catalog.services_by_name.values()
        for endpoint in service.endpoints
        if endpoint.instance == name
    }
    return [target for target in connected if target.name in on_instance]


async def _drain_endpoint(
    controller: Controller, target: _Target
) -> Failure | None:
    scope = f"service/{target.service}"
    held_scope = controller.scope_keeper.held_by_name.get(scope)
    if held_scope is None:
        holder, _ = controller.scope_keeper.holders().get(scope, ("", 0))
        return Failure(
            ResultCode.LEASE_HELD,
            f"{scope} is held by {holder or 'no controller yet'}; send the "
            "request to its holder.",
        )
    receiver = EngineOrderReceiver(
        controller.peer_connections,
        controller.pending_orders,
        target.sidecar,
        target.name,
        _DRAIN_ACTION,
        "",
    )
    return await controller.order_sender.send_order(
        held_scope, receiver, _ORDER_TIMEOUT_S
    )

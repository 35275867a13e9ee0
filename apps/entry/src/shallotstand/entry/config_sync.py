"""Applies adopted configurations to the gateway."""

from shallotstand.control.adoption import ConfigKeeper
from shallotstand.entry.gateway import Gateway
from shallotstand.objects.types import Catalog


def apply_adopted_configs(keeper: ConfigKeeper, gateway: Gateway) -> None:
    """Subscribes a gateway to the configurations that the keeper adopts.

    Until the first adoption the gateway refuses requests with the reason that
    the keeper gives.
    """

    def adopt(catalog: Catalog) -> None:
        gateway.adopt(catalog)
        # A refusal for another reason, such as a shutdown, stays in place.
        if gateway.refusal == unconfirmed:
            gateway.refusal = None

    unconfirmed = gateway.refusal = keeper.refusal
    gateway.keyed_refusal = keeper.keyed_request_refusal
    keeper.subscribe(adopt)

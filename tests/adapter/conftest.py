"""Clients of the adapter as the tests use them."""

from shallotstand.adapter.engines import HttpEndpointClient
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.endpoints import EndpointRegistry


def make_client(observer=None, count_request=lambda *_: None):
    clock = SystemClock()
    return HttpEndpointClient(
        observer or EndpointRegistry("zone-a", clock), clock, count_request
    )

"""Clients of the adapter as the tests use them."""

from shallotstand.adapter.engines import HttpEndpointClient
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.stated_limits import StatedLimits


def make_client(limits=None, count_request=lambda *_: None):
    clock = SystemClock()
    return HttpEndpointClient(
        limits or StatedLimits(clock), clock, count_request
    )

"""Clients of the adapter as the tests use them."""

import pytest
from sanic import Sanic
from shallotstand.adapter.engine_control import HttpEngineControl
from shallotstand.adapter.engines import HttpEndpointClient
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.outbound.receive_budget import ReceiveBudget

# Memory of the smallest instance.
MEMORY_BYTES = 200 << 20


def make_client(observer=None, count_request=lambda *_: None, budget=None):
    clock = SystemClock()
    return HttpEndpointClient(
        observer or EndpointRegistry("zone-a", clock),
        clock,
        count_request,
        budget or ReceiveBudget.from_memory_limit(MEMORY_BYTES),
    )


def make_engine_control():
    return HttpEngineControl(
        "node-1", ReceiveBudget.from_memory_limit(MEMORY_BYTES)
    )


@pytest.fixture(autouse=True)
def allow_several_apps(monkeypatch):
    monkeypatch.setattr(Sanic, "test_mode", True)

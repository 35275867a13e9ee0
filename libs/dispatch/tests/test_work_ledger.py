"""The work that is left at an endpoint, and its open connections."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.idle_connections import (
    IDLE_TIMEOUT_S,
    IdleConnections,
)
from shallotstand.dispatch.work_ledger import OVERDUE_SHARE, WorkLedger
from shallotstand.standins.memory_engines import make_endpoint


def test_work_that_is_left_falls_with_time():
    ledger = WorkLedger()
    ledger.begin(2.0, 100.0)
    ledger.begin(1.0, 100.0)
    assert ledger.left_s(100.0) == pytest.approx(3.0)
    assert ledger.left_s(100.5) == pytest.approx(2.0)
    ledger.end()
    assert ledger.left_s(100.5) == pytest.approx(1.5)


def test_overdue_request_goes_on_counting():
    # Guards against a stalled endpoint that looks idle since all of its
    # requests should have ended.
    ledger = WorkLedger()
    ledger.begin(2.0, 100.0)
    assert ledger.left_s(110.0) == pytest.approx(2.0 * OVERDUE_SHARE)


def test_ledger_without_requests_has_no_work():
    ledger = WorkLedger()
    ledger.end()
    assert ledger.left_s(100.0) == 0.0


def test_connections_are_idle_until_taken_or_closed():
    connections = IdleConnections()
    assert not connections.has_any(100.0)
    connections.leave(100.0)
    connections.leave(101.0)
    connections.take()
    assert connections.has_any(102.0)
    assert not connections.has_any(100.5 + IDLE_TIMEOUT_S)


def test_work_of_all_processes_decides():
    # Guards against gateways that all choose an endpoint at which only the
    # requests of others are expensive.
    clock = ManualClock()
    registry = EndpointRegistry("zone-a", clock)
    for name in "ab":
        registry.update_endpoint(make_endpoint(name))
    peers = {"a": EndpointState(1, work_left_s=3.0), "b": EndpointState(3)}
    registry.set_peer_states_source(lambda: peers)
    assert registry.candidates("engines")[0].id == "b"
    for _ in range(3):
        registry.record_request_start(registry.by_id["b"], expected_s=2.0)
    assert registry.candidates("engines")[0].id == "a"


def test_requests_of_an_endpoint_that_starts_again_still_count():
    clock = ManualClock()
    registry = EndpointRegistry("zone-a", clock)
    registry.update_endpoint(make_endpoint("a"))
    registry.record_request_start(registry.by_id["a"], expected_s=2.0)
    registry.update_endpoint(make_endpoint("a", started_ms=2))
    assert registry.work_left_s(registry.by_id["a"]) == 2.0
    registry.record_request_end(registry.by_id["a"])
    assert registry.work_left_s(registry.by_id["a"]) == 0.0

"""Many gateways with work for an engine in need, without a network.

The pattern of load: an engine states a limit of a few requests a second, while
many gateways have more work than that for it.
"""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch import request_shares
from shallotstand.dispatch.request_shares import (
    Competitor,
    PeerShares,
    RequestShares,
)
from shallotstand.dispatch.stated_limits import StatedLimit
from shallotstand.standins.request_limit import CONTACT_S
from shallotstand.standins.simulated_gateways import SimulatedFleet


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("count", "limit"),
    [(1, 0.0), (5, 0.0), (2, 0.4), (5, 1.0), (5, 4.0), (58, 1.0), (58, 30.0)],
)
def test_limit_holds_and_is_used(count, limit, seed):
    # Guards against a limit that each gateway spends for itself, and against
    # one of which so many gateways have a share that nobody may send.
    fleet = SimulatedFleet(count, seed)
    fleet.engine.state(limit)
    fleet.run(CONTACT_S)
    before = fleet.engine.count()
    fleet.run(20.0)
    assert fleet.engine.violations() == []
    assert fleet.engine.count() - before >= 0.6 * limit * 20.0


def test_many_gateways_after_a_pause_send_no_burst():
    # Guards against one saved request of each gateway at the same moment.
    fleet = SimulatedFleet(120, requests_per_s=1.0)
    fleet.engine.state(2.0)
    fleet.run(CONTACT_S + 2.0)
    fleet.requests_per_s = 0.0
    fleet.run(8.0)
    fleet.requests_per_s = 20.0
    fleet.run(6.0)
    assert fleet.engine.violations() == []


def test_every_gateway_gets_its_turn(monkeypatch):
    # Guards against a batch whose gateway never comes to use a limited engine
    # since more gateways compete than may share the limit.
    monkeypatch.setattr(request_shares, "ROTATION_S", 4.0)
    fleet = SimulatedFleet(12)
    fleet.engine.state(1.0)
    fleet.run(CONTACT_S)
    for gateway in fleet.gateways:
        gateway.sent = 0
    fleet.run(80.0)
    assert all(gateway.sent for gateway in fleet.gateways)
    assert fleet.engine.violations() == []


@pytest.mark.parametrize("seed", range(10))
def test_limit_holds_through_restarts_cuts_and_changes(seed):
    # Guards against shares that don't fit together while gateways join, leave,
    # lose sight of each other for a moment, and the limit rises and falls.
    fleet = SimulatedFleet(6, seed)
    fleet.engine.state(3.0)
    fleet.run(CONTACT_S)
    for _ in range(12):
        event = fleet.rng.randrange(4)
        number = fleet.rng.randrange(6)
        if event == 0:
            fleet.restart(number)
        elif event == 1:
            fleet.gateways[number].is_cut = True
        elif event == 2:
            fleet.engine.state(fleet.rng.choice((1.0, 3.0, 6.0)))
        fleet.run(fleet.rng.uniform(0.2, 1.5))
        for gateway in fleet.gateways:
            gateway.is_cut = False
    assert fleet.engine.violations() == []


def test_unused_share_goes_to_the_others():
    # Guards against a limited engine that is left half used since gateways
    # without work keep a share.
    fleet = SimulatedFleet(4)
    fleet.engine.state(4.0)
    fleet.run(4.0)
    fleet.gateways[1:], idle = [], fleet.gateways[1:]
    for gateway in idle:
        fleet.report(gateway)
    fleet.requests_per_s = 20.0
    fleet.run(request_shares.COMPETING_S + 1.0)
    before = fleet.engine.count()
    fleet.run(10.0)
    assert fleet.engine.count() - before >= 36


def test_short_pause_saves_up_no_burst():
    # Guards against requests that are saved up while there is no work for an
    # engine and then all spent within one window.
    fleet = SimulatedFleet(5)
    fleet.engine.state(8.0)
    for _ in range(3):
        fleet.requests_per_s = 20.0
        fleet.run(5.0)
        fleet.requests_per_s = 0.0
        fleet.run(request_shares.COMPETING_S - 0.2)
    assert fleet.engine.violations() == []


@pytest.mark.parametrize("limit", [0.0, 1.0])
def test_limit_that_ends_holds_nothing_back(limit):
    # Guards against a limit of 0 whose end no request would ever show.
    fleet = SimulatedFleet(3)
    fleet.engine.state(limit)
    fleet.run(5.0)
    fleet.engine.state(None)
    # A response has to tell of the end first.
    fleet.run(1 / request_shares.PROBES_PER_S * 3)
    before = fleet.engine.count()
    fleet.run(4.0)
    assert fleet.engine.count() - before > 3 * 5.0 * 4.0 * 0.8


def test_wait_is_what_the_share_says():
    clock = ManualClock()
    shares = RequestShares("g", clock)
    shares.set_peer_shares_source(
        lambda _: PeerShares(StatedLimit(1.0, 1.0), (Competitor("h", 1),))
    )
    assert shares.seconds_until_request("e") == pytest.approx(2.0)
    clock.advance(2.0)
    assert shares.seconds_until_request("e") == 0.0
    shares.record_send("e")
    assert shares.seconds_until_request("e") == pytest.approx(2.0)


def test_shares_follow_the_requests_that_wait():
    # Guards against a gateway with one item that keeps half of a limit while
    # another one's whole step waits.
    fleet = SimulatedFleet(4, requests_per_s=20.0)
    fleet.gateways[0].waiting = 30
    fleet.engine.state(4.0)
    fleet.run(CONTACT_S)
    before = fleet.gateways[0].sent
    fleet.run(10.0)
    assert fleet.gateways[0].sent - before >= 0.8 * 4.0 * 10.0


@pytest.mark.parametrize("seed", range(3))
def test_limit_holds_while_the_waiting_requests_change(seed):
    # Guards against too many requests while gateways believe different numbers.
    fleet = SimulatedFleet(4, seed, requests_per_s=20.0)
    fleet.engine.state(4.0)
    fleet.run(CONTACT_S)
    for _ in range(4):
        for gateway in fleet.gateways:
            gateway.waiting = fleet.rng.choice((1, 1, 50))
        before = fleet.engine.count()
        fleet.run(5.0)
        assert fleet.engine.count() - before >= 0.7 * 4.0 * 5.0
    assert fleet.engine.violations() == []

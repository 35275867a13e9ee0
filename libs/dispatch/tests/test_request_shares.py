"""Many gateways with work for an engine in need, without a network.

The pattern of load: an engine states a limit of a few requests a second, while
many gateways have more work than that for it.
"""

import itertools
import random

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.dispatch import request_shares
from shallotstand.dispatch.request_shares import (
    Competitor,
    PeerShares,
    RequestShares,
)
from shallotstand.dispatch.stated_limits import StatedLimit
from shallotstand.standins.request_limit import CONTACT_S, RequestLimit

STEP_S = 0.02
REPORT_INTERVAL_S = 0.4
REPORT_DELAY_S = 0.05
PEER_TIMEOUT_S = 1.6


class SimulatedGateway:
    """A gateway's shares, and what it has heard from its peers."""

    def __init__(self, name, fleet):
        self.name = name
        self.shares = RequestShares(name, fleet.clock)
        self.shares.set_peer_shares_source(self._peer_shares)
        self.shares.subscribe(lambda: fleet.report(self))
        self.heard_by_peer = {}
        self.is_cut = False
        self.waiting = 1
        self.sent = 0
        self.next_report_at = fleet.rng.uniform(0, REPORT_INTERVAL_S)
        self._fleet = fleet

    def _peer_shares(self, endpoint_id):
        now = self._fleet.clock.monotonic()
        heard = [
            shares
            for received_at, shares in self.heard_by_peer.values()
            if now - received_at < PEER_TIMEOUT_S
        ]
        return PeerShares(
            max(
                (s.stated_limit for s in heard if s.stated_limit),
                key=lambda stated: stated.stated_at,
                default=None,
            ),
            tuple(itertools.chain.from_iterable(s.competitors for s in heard)),
        )


class SimulatedFleet:
    """Gateways that all have work for one engine."""

    def __init__(self, count, seed=1, requests_per_s=5.0):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.engine = RequestLimit(self.clock.monotonic)
        self.requests_per_s = requests_per_s
        self.gateways = [
            SimulatedGateway(f"g{number}", self) for number in range(count)
        ]
        self.replaced = 0
        self._in_transit = []

    def report(self, gateway):
        shares = gateway.shares.own_shares_by_id().get("e", PeerShares())
        delay_s = self.rng.uniform(0, REPORT_DELAY_S)
        self._in_transit.append(
            (self.clock.monotonic() + delay_s, gateway, shares)
        )

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            self._deliver(now)
            for gateway in self.gateways:
                if now >= gateway.next_report_at:
                    gateway.next_report_at = now + REPORT_INTERVAL_S
                    self.report(gateway)
                if self.rng.random() < self.requests_per_s * STEP_S:
                    self._try_to_send(gateway)

    def restart(self, number):
        self.replaced += 1
        self.gateways[number] = SimulatedGateway(f"new{self.replaced}", self)

    def _deliver(self, now):
        due = [entry for entry in self._in_transit if entry[0] <= now]
        self._in_transit = [e for e in self._in_transit if e[0] > now]
        for _, sender, shares in due:
            for gateway in self.gateways:
                if gateway is not sender and not (
                    gateway.is_cut or sender.is_cut
                ):
                    gateway.heard_by_peer[sender.name] = (now, shares)

    def _try_to_send(self, gateway):
        if gateway.shares.seconds_until_request("e", gateway.waiting) > 0:
            return
        gateway.shares.record_send("e")
        gateway.sent += 1
        headers = self.engine.record_arrival("r")
        limit = headers.get("Server-Limit")
        gateway.shares.record_response(
            "e",
            None if limit is None else float(limit),
            self.clock.monotonic(),
        )


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

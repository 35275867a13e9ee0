"""Gateways that share what one engine accepts, without a network."""

import itertools
import random

from shallotstand.core.clock import ManualClock
from shallotstand.dispatch.request_shares import PeerShares, RequestShares
from shallotstand.standins.request_limit import RequestLimit

STEP_S = 0.02
REPORT_INTERVAL_S = 0.4
REPORT_DELAY_S = 0.05
PEER_TIMEOUT_S = 1.6


class SimulatedGateway:
    """A gateway's shares, and what it has heard from its peers.

    Attributes:
      name: Its name.
      shares: Its shares.
      heard_by_peer: What it last heard of each peer, and when.
      is_cut: Whether it and its peers don't hear of each other.
      waiting: Number of its requests that wait for the engine.
      sent: Number of requests that it has sent.
      next_report_at: When it reports to its peers next.
    """

    def __init__(self, name, fleet):
        self.name = name
        self.shares = RequestShares(
            name, fleet.clock, lambda _: fleet.cold_rate
        )
        self.shares.set_isolation_source(lambda: self.is_cut)
        self.shares.set_peer_shares_source(self._peer_shares)
        self.shares.subscribe(lambda: fleet.report(self))
        self.heard_by_peer = {}
        self.is_cut = False
        self.waiting = 1
        self.sent = 0
        self.next_report_at = fleet.rng.uniform(0, REPORT_INTERVAL_S)
        self._fleet = fleet

    def _peer_shares(self, _):
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
    """Gateways that all have work for one engine.

    Attributes:
      rng: Source of random numbers.
      clock: Source of time.
      engine: The engine.
      requests_per_s: Requests per second that each gateway tries to send.
      gateways: The gateways.
      replaced: Number of gateways that have started again.
      cold_rate: Requests per second that the engine accepts while it is cold;
        None while it is warm.
      sent_at: When each request was sent.
    """

    def __init__(self, count: int, seed: int = 1, requests_per_s: float = 5.0):
        """Creates gateways that have not heard of each other yet."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.engine = RequestLimit(self.clock.monotonic)
        self.requests_per_s = requests_per_s
        self.gateways = [
            SimulatedGateway(f"g{number}", self) for number in range(count)
        ]
        self.replaced = 0
        self.cold_rate: float | None = None
        self.sent_at: list[float] = []
        self._in_transit = []

    def report(self, gateway: SimulatedGateway) -> None:
        """Tells the peers of a gateway what it knows, with a delay."""
        shares = gateway.shares.own_shares_by_id().get("e", PeerShares())
        delay_s = self.rng.uniform(0, REPORT_DELAY_S)
        self._in_transit.append(
            (self.clock.monotonic() + delay_s, gateway, shares)
        )

    def run(self, seconds: float) -> None:
        """Lets time pass."""
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

    def restart(self, number: int) -> None:
        """Replaces a gateway by a process that knows nothing."""
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
        self.sent_at.append(self.clock.monotonic())
        headers = self.engine.record_arrival("r")
        limit = headers.get("Server-Limit")
        gateway.shares.record_response(
            "e",
            None if limit is None else float(limit),
            self.clock.monotonic(),
        )

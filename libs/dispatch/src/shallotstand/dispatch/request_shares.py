"""Shares the limit that an endpoint states among the processes that use it.

The pattern of load: an engine in need names a few requests a second, while
many gateways have work for it, each of which knows only its own requests
exactly. Every gateway therefore spends a share of the limit, in proportion to
the requests that wait there, which it works out from what the others report.

Bounds, with a limit of R requests a second: at most 3 + 1.5 R processes have a
share at the same time, and each saves up one request or SAVED_S of its share.
In a span of t seconds an endpoint so gets up to R t requests and the larger of
R SAVED_S and 3 + 1.5 R, and some more for as long as the processes don't know
of each other.

A cold endpoint accepts a few requests a second, too, and may crash if it gets
more in any second, so its bound is tighter: COLD_SHARING processes have an
equal share each and save up one request, which makes R + COLD_SHARING in any
second. The share does not depend on who else competes, since a process that has
not heard of the others must not send more. One that few peers reach sends none.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from absl import logging
from shallotstand.core import logs, rendezvous
from shallotstand.core.clock import Clock
from shallotstand.dispatch.stated_limits import StatedLimit, StatedLimits

# A process competes for an endpoint until it has had no request for it for this
# long. Peers learn of a competitor within half a second.
COMPETING_S = 2.0
# Time whose share a process may save up and then spend at once.
SAVED_S = 1.0
# Processes that share a limit: a number, and more with the limit. More of them
# would send too much if each spent one saved request at the same moment.
MIN_SHARING = 3
SHARING_PER_REQUEST_S = 1.5
# How long the same processes share a limit if more compete than may share it.
ROTATION_S = 16.0
# Number of processes that share what a cold endpoint accepts.
COLD_SHARING = 3
# Requests per second to an endpoint that states less. Only a response tells
# that a limit has risen or ended.
PROBES_PER_S = 0.25


class Competitor(NamedTuple):
    """A process that has requests for an endpoint.

    Attributes:
      process_id: Identifier of the process.
      waiting: Number of requests that wait there, at least 1.
    """

    process_id: str
    waiting: int


class PeerShares(NamedTuple):
    """What processes report about the limit of an endpoint.

    Attributes:
      stated_limit: The newest statement that a response to one of them
        carried; None if there was none.
      competitors: The processes that have requests for it.
    """

    stated_limit: StatedLimit | None = None
    competitors: tuple[Competitor, ...] = ()


class _Limit(NamedTuple):
    """What limits the requests to an endpoint.

    Attributes:
      stated_per_s: Requests per second that it states; None if it states none.
      cold_per_s: Requests per second that it accepts while it is cold; None if
        it is warm.
    """

    stated_per_s: float | None
    cold_per_s: float | None


_NO_PEERS = PeerShares()


class _Share(NamedTuple):
    """What a process may send to an endpoint.

    Attributes:
      requests_per_s: Requests per second.
      max_saved: Number of requests that may be saved up.
    """

    requests_per_s: float
    max_saved: float


_NO_SHARE = _Share(0.0, 1.0)


class _Allowance:
    """Token bucket with the requests that this process may send now.

    Attributes:
      wanted_at: Monotonic time in seconds at which a request last asked for it.
      waiting: Number of requests that waited then.
    """

    def __init__(self, now: float):
        self._saved_requests = 0.0
        self._refilled_at = now
        self.wanted_at = now
        self.waiting = 1

    def refill(self, share: _Share, now: float) -> None:
        """Adds the share since the last call, up to what may be saved."""
        self._saved_requests = min(
            share.max_saved,
            self._saved_requests
            + share.requests_per_s * (now - self._refilled_at),
        )
        self._refilled_at = now

    def spend(self) -> None:
        """Takes one request off."""
        self._saved_requests -= 1.0

    def seconds_until_request(self, requests_per_s: float) -> float:
        """Returns when the next request may be sent; infinite without share."""
        missing = 1.0 - self._saved_requests
        if missing <= 0:
            return 0.0
        return missing / requests_per_s if requests_per_s else float("inf")


class RequestShares:
    """This process's shares of the limits of all endpoints."""

    def __init__(
        self,
        process_id: str,
        clock: Clock,
        find_cold_rate: Callable[[str], float | None] = lambda _: None,
    ):
        """Creates the shares of a process.

        Args:
          process_id: Identifier of the process.
          clock: Source of time.
          find_cold_rate: Returns the requests per second that an endpoint
            accepts while it is cold; None if it is warm.
        """
        self._process_id = process_id
        self._clock = clock
        self._find_cold_rate = find_cold_rate
        self._is_isolated: Callable[[], bool] = lambda: False
        self._limits = StatedLimits(clock)
        self._allowance_by_id: dict[str, _Allowance] = {}
        self._fetch_peer_shares: Callable[[str], PeerShares] = lambda _: (
            _NO_PEERS
        )
        self._listeners: list[Callable[[], None]] = []

    def set_peer_shares_source(
        self, source: Callable[[str], PeerShares]
    ) -> None:
        """Sets the function that returns the peers' reports of an endpoint."""
        self._fetch_peer_shares = source

    def set_isolation_source(self, source: Callable[[], bool]) -> None:
        """Sets the function that tells whether few peers reach this process."""
        self._is_isolated = source

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when peers should hear of a change."""
        self._listeners.append(listener)

    def record_response(
        self, endpoint_id: str, requests_per_s: float | None, sent_at: float
    ) -> bool:
        """Records a response; see `StatedLimits.record_response`."""
        has_changed = self._limits.record_response(
            endpoint_id, requests_per_s, sent_at
        )
        if has_changed:
            self._notify()
        return has_changed

    def record_start(self, endpoint_id: str) -> None:
        """Records that an endpoint has started anew, without a limit."""
        self._allowance_by_id.pop(endpoint_id, None)
        self._limits.record_start(endpoint_id)

    def remove(self, endpoint_id: str) -> None:
        """Forgets an endpoint."""
        self._allowance_by_id.pop(endpoint_id, None)
        self._limits.remove(endpoint_id)

    def record_send(self, endpoint_id: str) -> None:
        """Records that a request is sent to an endpoint."""
        allowance = self._allowance_by_id.get(endpoint_id)
        if allowance is not None:
            allowance.spend()

    def allows(self, endpoint_id: str, waiting: int) -> bool:
        """Returns whether this process may send a request to an endpoint.

        Args:
          endpoint_id: The endpoint.
          waiting: Number of requests that wait for it. If there are none, this
            process does not compete for it, and a limit allows nothing.
        """
        if waiting:
            return not self.seconds_until_request(endpoint_id, waiting)
        peers = self._fetch_peer_shares(endpoint_id)
        return self._limit(endpoint_id, peers) is None

    def seconds_until_request(
        self, endpoint_id: str, waiting: int = 1
    ) -> float:
        """Returns when this process may send a request to an endpoint.

        The process competes for the endpoint from then on, since it has a
        request for it.

        Args:
          endpoint_id: The endpoint.
          waiting: Number of requests of this process that wait for it.

        Returns:
          Seconds; 0 if it may send one now, infinite if the limit is shared by
          other processes for the time being.
        """
        peers = self._fetch_peer_shares(endpoint_id)
        limit = self._limit(endpoint_id, peers)
        if limit is None:
            self._allowance_by_id.pop(endpoint_id, None)
            return 0.0
        now = self._clock.monotonic()
        allowance = self._allowance_by_id.get(endpoint_id)
        if allowance is None or now - allowance.wanted_at > COMPETING_S:
            allowance = self._allowance_by_id[endpoint_id] = _Allowance(now)
            logs.event(
                logging.INFO,
                "Competes for an endpoint with a limit",
                endpoint=endpoint_id,
                requests_per_s=limit.stated_per_s,
                cold_requests_per_s=limit.cold_per_s,
                waiting=waiting,
                competitors=len(peers.competitors) + 1,
            )
            self._notify()
        allowance.wanted_at = now
        allowance.waiting = waiting
        return self._wait_s(endpoint_id, limit, peers, allowance)

    def next_share_in_s(self, endpoint_id: str) -> float:
        """Returns when a share of a limit that this process competes for comes.

        Returns:
          Seconds; 0 if a request may be sent now or this process does not
          compete, infinite if others share the limit for the time being.
        """
        peers = self._fetch_peer_shares(endpoint_id)
        limit = self._limit(endpoint_id, peers)
        allowance = self._allowance_by_id.get(endpoint_id)
        if limit is None or allowance is None:
            return 0.0
        if self._clock.monotonic() - allowance.wanted_at > COMPETING_S:
            return 0.0
        return self._wait_s(endpoint_id, limit, peers, allowance)

    def own_shares_by_id(self) -> dict[str, PeerShares]:
        """Returns what this process reports to its peers, by endpoint."""
        competing_since = self._clock.monotonic() - COMPETING_S
        own_by_id = {
            endpoint_id: (Competitor(self._process_id, allowance.waiting),)
            for endpoint_id, allowance in self._allowance_by_id.items()
            if allowance.wanted_at >= competing_since
        }
        return {
            endpoint_id: PeerShares(
                self._limits.own_by_id.get(endpoint_id),
                own_by_id.get(endpoint_id, ()),
            )
            for endpoint_id in own_by_id.keys() | self._limits.own_by_id.keys()
        }

    def _limit(self, endpoint_id: str, peers: PeerShares) -> _Limit | None:
        """Returns what limits an endpoint; None if nothing does."""
        limit = _Limit(
            self._limits.newest(endpoint_id, peers.stated_limit),
            self._find_cold_rate(endpoint_id),
        )
        return None if limit == _Limit(None, None) else limit

    def _wait_s(
        self,
        endpoint_id: str,
        limit: _Limit,
        peers: PeerShares,
        allowance: _Allowance,
    ) -> float:
        own = Competitor(self._process_id, allowance.waiting)
        competitors = (*peers.competitors, own)
        shares = []
        if limit.stated_per_s is not None:
            shares.append(
                self._stated_share(
                    endpoint_id, limit.stated_per_s, own, competitors
                )
            )
        if limit.cold_per_s is not None:
            shares.append(
                self._cold_share(
                    endpoint_id, limit.cold_per_s, own, competitors
                )
            )
        share = min(shares)
        allowance.refill(share, self._clock.monotonic())
        return allowance.seconds_until_request(share.requests_per_s)

    def _stated_share(
        self,
        endpoint_id: str,
        requests_per_s: float,
        own: Competitor,
        competitors: tuple[Competitor, ...],
    ) -> _Share:
        """Returns this process's share of a limit that an endpoint states."""
        sharing = self._sharing(
            endpoint_id,
            competitors,
            MIN_SHARING + int(SHARING_PER_REQUEST_S * requests_per_s),
        )
        if own not in sharing:
            return _NO_SHARE
        total_waiting = sum(one.waiting for one in sharing)
        own_per_s = (
            max(requests_per_s, PROBES_PER_S) * own.waiting / total_waiting
        )
        return _Share(own_per_s, max(1.0, own_per_s * SAVED_S))

    def _cold_share(
        self,
        endpoint_id: str,
        requests_per_s: float,
        own: Competitor,
        competitors: tuple[Competitor, ...],
    ) -> _Share:
        """Returns this process's share of what a cold endpoint accepts."""
        if self._is_isolated() or own not in self._sharing(
            endpoint_id, competitors, COLD_SHARING
        ):
            return _NO_SHARE
        return _Share(requests_per_s / COLD_SHARING, 1.0)

    def _sharing(
        self,
        endpoint_id: str,
        competitors: tuple[Competitor, ...],
        count: int,
    ) -> tuple[Competitor, ...]:
        """Returns the competitors that share a limit for the time being."""
        if len(competitors) <= count:
            return competitors
        turn = int(self._clock.wall() // ROTATION_S)
        name = f"{endpoint_id}/{turn}"
        return tuple(
            heapq.nlargest(
                count,
                competitors,
                key=lambda one: rendezvous.weight(name, one.process_id),
            )
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

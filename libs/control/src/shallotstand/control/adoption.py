"""Decides which configuration a process uses, and when it may serve.

The keeper does no I/O: its owner exchanges messages with the store and the
peers, and reports what it receives through method calls.
"""

import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.delta import Delta, apply_delta
from shallotstand.objects.encoding import (
    digest_of,
    encode_catalog,
    join_snapshot,
)
from shallotstand.objects.types import Catalog

# An entry without contact with the store or with a majority of the entries for
# this long may have missed a withdrawal, which must take effect within 5 s.
ISOLATION_TIMEOUT_S = 4.0
# A peer that lags behind by more deltas gets the full catalog.
_MAX_RECENT_DELTAS = 128

_UNCONFIRMED = Failure(
    ResultCode.CONFIG_UNCONFIRMED,
    "The store and a majority of entries have not confirmed a configuration.",
)
_ISOLATED = Failure(
    ResultCode.CONFIG_UNCONFIRMED,
    "This entry has lost contact with the store and most entries.",
)


class Offer(NamedTuple):
    """A revision offered by a peer; its fields are those of `Config`.

    Attributes:
      revision: Number of the revision.
      base: Revision that a delta applies to; 0 for a full catalog.
      digest: Digest of the full catalog after the change.
      content: Encoded delta or full catalog.
    """

    revision: int
    base: int
    digest: str
    content: bytes

    @classmethod
    def of_catalog(cls, catalog: Catalog) -> "Offer":
        """Returns an offer of a full catalog."""
        content = encode_catalog(catalog)
        return cls(catalog.revision, 0, digest_of(content), content)


class ConfigKeeper:
    """Holds the highest published revision that this process has received.

    Attributes:
      catalog: The held catalog; empty while `is_confirmed` is false.
      is_confirmed: Whether the held catalog may be used to serve requests.
      highest_known_revision: Highest revision that any process has reported.
      withdrawn: Hashes of keys withdrawn in an emergency; never removed.
    """

    def __init__(
        self, own_name: str, listed_entries: Iterable[str], clock: Clock
    ):
        """Initializes the keeper of a fresh process.

        Args:
          own_name: Name of this process; an entry has the name that it has in
            `listed_entries`.
          listed_entries: Names of all entries in the settings, including
            this process if it is an entry.
          clock: Clock of the process.
        """
        self.catalog = Catalog.empty()
        self.is_confirmed = False
        self.highest_known_revision = 0
        self.withdrawn: frozenset[str] = frozenset()
        self._own_name = own_name
        self._listed_entries = frozenset(listed_entries)
        self._majority = len(self._listed_entries) // 2 + 1
        self._clock = clock
        self._listeners: list[Callable[[Catalog], None]] = []
        self._offers_by_peer: dict[str, Catalog] = {}
        self._serving_peers: set[str] = set()
        self._last_ping_at_by_peer: dict[str, float] = {}
        self._store_answered_at = -math.inf
        self._recent_deltas: collections.deque[Offer] = collections.deque(
            maxlen=_MAX_RECENT_DELTAS
        )

    @property
    def refusal(self) -> Failure | None:
        """Reason why requests are refused; None if they may be served."""
        return None if self.is_confirmed else _UNCONFIRMED

    @property
    def is_behind(self) -> bool:
        """Whether a revision is known that this process does not hold."""
        return not self.is_confirmed or (
            self.highest_known_revision > self.catalog.revision
        )

    @property
    def served_catalog(self) -> Catalog:
        """The held catalog without the keys withdrawn in an emergency."""
        keys_by_name = {
            name: key
            for name, key in self.catalog.keys_by_name.items()
            if key.hash not in self.withdrawn
        }
        return self.catalog._replace(keys_by_name=keys_by_name)

    def subscribe(self, listener: Callable[[Catalog], None]) -> None:
        """Passes the served catalog to a listener, now and at each change.

        The listener is not called before a catalog is confirmed.
        """
        self._listeners.append(listener)
        if self.is_confirmed:
            listener(self.served_catalog)

    def keyed_request_refusal(self) -> Failure | None:
        """Returns why requests with a key are refused; None if they are not.

        Contact with a majority of the listed entries, including this one, is
        enough: every withdrawal is held by a majority, and two majorities
        have an entry in common. Peers without a confirmed catalog don't
        count, since they may have lost the withdrawals in a restart.
        """
        return _ISOLATED if self.is_isolated_for(ISOLATION_TIMEOUT_S) else None

    def is_isolated_for(self, limit_s: float) -> bool:
        """Returns whether neither store nor majority has responded lately.

        Args:
          limit_s: Maximum age of a response in seconds.
        """
        since = self._clock.monotonic() - limit_s
        if self._store_answered_at >= since:
            return False
        responsive_peers = {
            p for p, at in self._last_ping_at_by_peer.items() if at >= since
        }
        return (
            len((responsive_peers | {self._own_name}) & self._listed_entries)
            < self._majority
        )

    def record_store_contact(self) -> None:
        """Records that the store has answered."""
        self._store_answered_at = self._clock.monotonic()

    def record_peer_ping(self, peer: str, revision: int) -> None:
        """Records a Ping and the revision in it."""
        if peer in self._serving_peers:
            self._last_ping_at_by_peer[peer] = self._clock.monotonic()
        self.record_known_revision(revision)

    def record_held_revision(self, peer: str, revision: int) -> None:
        """Records that a peer serves a revision."""
        self._serving_peers.add(peer)
        self.record_peer_ping(peer, revision)

    def record_known_revision(self, revision: int) -> None:
        """Records a revision that a peer or sidecar has seen."""
        self.highest_known_revision = max(self.highest_known_revision, revision)

    def forget_peer(self, peer: str) -> None:
        """Drops the offer and state of a peer whose connection has ended.

        From now on the peer may adopt a newer revision unnoticed.
        """
        self._offers_by_peer.pop(peer, None)
        self._serving_peers.discard(peer)

    def receive_store_catalog(self, catalog: Catalog) -> Failure | None:
        """Adopts the catalog that was read from the store.

        Errors:
          REVISION_OLDER: A higher revision is held or, in a fresh process,
            known; the store answered with an outdated state.
        """
        known = self.highest_known_revision
        if self.is_confirmed:
            known = self.catalog.revision
        if catalog.revision < known:
            return _revision_older(catalog.revision, known)
        if self.is_confirmed and catalog.revision == self.catalog.revision:
            return None
        self._adopt_catalog(catalog, None)
        return None

    def receive_offer(self, peer: str, offer: Offer) -> Failure | None:
        """Handles the offer of a revision that a peer serves.

        A process with a confirmed catalog adopts a newer revision at once. A
        fresh process collects offers and adopts the highest once a majority of
        the listed entries has made offers and no higher revision is known.

        Errors:
          REVISION_OLDER: The offered revision is not newer than the held one.
          REVISION_GAP: The base is not held; the full catalog is needed.
          DIGEST_MISMATCH: The content is damaged; request the full catalog.
        """
        self.record_known_revision(offer.revision)
        if self.is_confirmed and offer.revision <= self.catalog.revision:
            return _revision_older(offer.revision, self.catalog.revision)
        catalog = self._decode_offer(peer, offer)
        if isinstance(catalog, Failure):
            return catalog
        if self.is_confirmed:
            self._adopt_catalog(catalog, offer)
            return None
        self._offers_by_peer[peer] = catalog
        self._adopt_majority_offer()
        return None

    def changes_after(self, revision: int) -> tuple[Offer, ...]:
        """Returns the offers that bring a peer to the held revision.

        The offers are deltas if all of them are kept, else the full catalog.
        There are none if the peer is not behind or this process has no
        confirmed catalog. A peer at revision 0 may be fresh and gets the full
        catalog.
        """
        if not self.is_confirmed or 0 < revision >= self.catalog.revision:
            return ()
        changes = self._deltas_since(revision) if revision else ()
        return changes or (Offer.of_catalog(self.catalog),)

    def withdraw_keys(self, hashes: Iterable[str]) -> frozenset[str]:
        """Withdraws keys at once, even those in the held catalog.

        Returns:
          The new hashes, which must be sent to the other entries.
        """
        new_hashes = frozenset(hashes) - self.withdrawn
        if new_hashes:
            self.withdrawn |= new_hashes
            self._notify_listeners()
        return new_hashes

    def _decode_offer(self, peer: str, offer: Offer) -> Catalog | Failure:
        if offer.base == 0:
            return join_snapshot([offer.content], offer.revision, offer.digest)
        base = self.catalog
        if not self.is_confirmed:
            base = self._offers_by_peer.get(peer, base)
        delta = Delta.decode(offer.content)
        if isinstance(delta, Failure):
            return delta
        if (delta.revision, delta.digest) != (offer.revision, offer.digest):
            return Failure(
                ResultCode.DIGEST_MISMATCH,
                "The delta does not match its offer.",
            )
        return apply_delta(base, delta)

    def _adopt_majority_offer(self) -> None:
        if (
            len(self._offers_by_peer.keys() & self._listed_entries)
            < self._majority
        ):
            return
        highest = max(self._offers_by_peer.values(), key=lambda c: c.revision)
        if highest.revision >= self.highest_known_revision:
            self._adopt_catalog(highest, None)

    def _adopt_catalog(self, catalog: Catalog, offer: Offer | None) -> None:
        if self.catalog.revision > 0:
            has_delta = offer is not None and offer.base > 0
            self._recent_deltas.append(
                offer if has_delta else _offer_between(self.catalog, catalog)
            )
        self.catalog = catalog
        self.is_confirmed = True
        self._offers_by_peer.clear()
        self.record_known_revision(catalog.revision)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        if not self.is_confirmed:
            return
        catalog = self.served_catalog
        for listener in self._listeners:
            listener(catalog)

    def _deltas_since(self, revision: int) -> tuple[Offer, ...]:
        """Returns the kept deltas after a revision; empty if any is missing."""
        by_base = {change.base: change for change in self._recent_deltas}
        chain: list[Offer] = []
        while change := by_base.get(revision):
            chain.append(change)
            revision = change.revision
        return tuple(chain)


def _offer_between(base: Catalog, catalog: Catalog) -> Offer:
    delta = Delta.between(base, catalog)
    return Offer(delta.revision, delta.base, delta.digest, delta.encode())


def _revision_older(offered: int, held: int) -> Failure:
    return Failure(
        ResultCode.REVISION_OLDER,
        f"Revision {offered} offered, {held} is known.",
    )

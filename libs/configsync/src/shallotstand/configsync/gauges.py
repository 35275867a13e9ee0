"""Gauges for the configuration in force and the connected peers."""

import collections
from collections.abc import Iterable

from shallotstand.control.adoption import ConfigKeeper
from shallotstand.core.clock import Clock
from shallotstand.link.peer_connections import PeerConnectionManager
from shallotstand.objects.types import Catalog
from shallotstand.observe.metrics import Metrics


class ConfigGauges:
    """Reports a keeper's revisions and the age of the one in force."""

    def __init__(self, keeper: ConfigKeeper, clock: Clock):
        self._keeper = keeper
        self._clock = clock
        self._adopted_revision = -1
        self._adopted_at = clock.monotonic()
        keeper.subscribe(self._on_catalog)

    def register_metrics(self, metrics: Metrics) -> None:
        """Adds the gauges to a process's metrics."""
        metrics.gauge(
            "config_revision",
            "Configuration revision: in force here, highest named by anyone.",
            "kind",
            self._revisions,
        )
        metrics.gauge(
            "config_age_seconds",
            "Time since the revision in force was adopted.",
            "kind",
            lambda: [("in_force", self._age_s())],
        )

    def _revisions(self) -> Iterable[tuple[str, float]]:
        yield "in_force", self._keeper.catalog.revision
        yield "highest_named", self._keeper.highest_known_revision

    def _age_s(self) -> float:
        return self._clock.monotonic() - self._adopted_at

    def _on_catalog(self, catalog: Catalog) -> None:
        if catalog.revision != self._adopted_revision:
            self._adopted_revision = catalog.revision
            self._adopted_at = self._clock.monotonic()


def register_peer_gauge(
    metrics: Metrics, peer_connections: PeerConnectionManager
) -> None:
    """Adds a gauge of the number of connected peers by role."""
    metrics.gauge(
        "peers",
        "Connected processes.",
        "role",
        lambda: collections.Counter(
            peer.hello.role
            for peer in peer_connections.connections_by_id.values()
        ).items(),
    )

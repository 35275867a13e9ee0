"""Metrics of a sidecar; the entries count requests and tokens."""

import collections
from collections.abc import Mapping

from shallotstand.link.peer_connections import PeerConnectionManager
from shallotstand.observe.metrics import Metrics
from shallotstand.sidecar.endpoint import LocalEndpoint
from shallotstand.sidecar.usage_log import UsageLog


def make_metrics(
    endpoints_by_name: Mapping[str, LocalEndpoint],
    usage_log: UsageLog,
    peer_connections: PeerConnectionManager,
) -> Metrics:
    """Returns the metrics of a sidecar."""
    metrics = Metrics()
    metrics.gauge(
        "endpoint_running",
        "Requests in the endpoint's batch.",
        "endpoint",
        lambda: [(n, e.report.running) for n, e in endpoints_by_name.items()],
    )
    metrics.gauge(
        "queue_length",
        "Requests that wait in the endpoint.",
        "endpoint",
        lambda: [(n, e.report.queued) for n, e in endpoints_by_name.items()],
    )
    metrics.gauge(
        "config_revision",
        "Configuration revision: highest named by anyone.",
        "kind",
        lambda: [("highest_named", peer_connections.highest_config_revision)],
    )
    metrics.gauge(
        "usage_pending",
        "Usage records that no controller has stored yet.",
        "source",
        lambda: [("own", len(usage_log.pending()))],
    )
    metrics.gauge(
        "peers",
        "Connected processes.",
        "role",
        lambda: collections.Counter(
            peer.hello.role
            for peer in peer_connections.connections_by_id.values()
        ).items(),
    )
    return metrics

"""Reports the load of the endpoints to the peers.

Full reports are sent when an engine's version, state, incarnation or number of
slots changes. Otherwise only the changed figures are sent, once a second and in
one message for all endpoints. With 24 peers, control traffic must stay below
5 KB/s for a sidecar.
"""

import asyncio
from collections import deque
from collections.abc import Mapping

from shallotstand.link.messages import (
    Crash,
    EndpointLoad,
    Load,
    LoadSample,
    LoadSamples,
)
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.sidecar.endpoint import LocalEndpoint

SAMPLE_INTERVAL_S = 1.0
# Cache events are hints that may be lost, so only the newest are kept. At eight
# bytes each, this number of events of both kinds costs 1.5 KB/s for 12 entries.
MAX_EVENTS = 8


class LoadReporter:
    """Sends load reports to every connected entry and controller.

    Attributes:
      peer_connections: Connections to the peers; set right after construction.
    """

    peer_connections: PeerConnectionManager

    def __init__(self, endpoints_by_name: Mapping[str, LocalEndpoint]):
        self._endpoints_by_name = endpoints_by_name
        self._index_by_name = {
            name: index for index, name in enumerate(endpoints_by_name)
        }
        self._last_sent_by_name: dict[str, EndpointLoad] = {}
        self._changed_names: set[str] = set()
        self._added: deque[tuple[int, int]] = deque(maxlen=MAX_EVENTS)
        self._evicted: deque[tuple[int, int]] = deque(maxlen=MAX_EVENTS)

    def send_initial_reports(self, peer: PeerConnection) -> None:
        """Sends full reports of all endpoints to a newly connected peer."""
        peer.send(Load(self._get_reports()))

    def on_report(self, endpoint: LocalEndpoint, crash: Crash | None) -> None:
        """Handles an endpoint's new load report.

        Crashes and changes of state are sent at once, other changes with the
        next samples.

        Args:
          endpoint: Endpoint with its new report.
          crash: Crash message if the engine ended, otherwise None.
        """
        report = endpoint.report
        sent = self._last_sent_by_name.get(endpoint.name)
        if sent is None or _get_state(sent) != _get_state(report):
            self.broadcast_reports(endpoint)
        elif _get_figures(sent) != _get_figures(report):
            self._changed_names.add(endpoint.name)
        index = self._index_by_name[endpoint.name]
        self._added.extend((index, block) for block in endpoint.added)
        self._evicted.extend((index, block) for block in endpoint.evicted)
        if crash is not None:
            self.peer_connections.broadcast(crash, "entry", "controller")

    def broadcast_reports(self, *endpoints: LocalEndpoint) -> None:
        """Sends full reports of endpoints to every entry and controller."""
        for endpoint in endpoints:
            self._last_sent_by_name[endpoint.name] = endpoint.report
            self._changed_names.discard(endpoint.name)
        reports = tuple(e.report for e in endpoints)
        # Controllers use only state and version, so they get no samples.
        self.peer_connections.broadcast(Load(reports), "entry", "controller")

    async def run(self) -> None:
        """Sends samples once a second if there are any, until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            if self._changed_names or self._added or self._evicted:
                self.peer_connections.broadcast(self._take_samples(), "entry")

    def _take_samples(self) -> LoadSamples:
        samples = []
        for name in sorted(
            self._changed_names, key=self._index_by_name.__getitem__
        ):
            report = self._endpoints_by_name[name].report
            self._last_sent_by_name[name] = report
            samples.append(
                LoadSample(self._index_by_name[name], *_get_figures(report))
            )
        message = LoadSamples(
            tuple(samples),
            tuple(index for index, _ in self._added),
            tuple(block for _, block in self._added),
            tuple(index for index, _ in self._evicted),
            tuple(block for _, block in self._evicted),
        )
        self._changed_names.clear()
        self._added.clear()
        self._evicted.clear()
        return message

    def _get_reports(self) -> tuple[EndpointLoad, ...]:
        return tuple(
            endpoint.report for endpoint in self._endpoints_by_name.values()
        )


def _get_state(report: EndpointLoad) -> tuple[str, str, str, int]:
    return report.state, report.version, report.incarnation, report.slots


def _get_figures(report: EndpointLoad) -> tuple[int, int, int]:
    return report.running, report.queued, report.free_blocks

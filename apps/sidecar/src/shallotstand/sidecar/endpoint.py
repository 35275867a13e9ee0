"""An endpoint beside the sidecar and what runs on it."""

import asyncio

from absl import logging
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.protocols import Engine, EngineLoad
from shallotstand.link.messages import EndpointInfo, EndpointLoad, Request
from shallotstand.sidecar.settings import EndpointSettings

LOAD_INTERVAL_S = 0.5
SUSPECT_BUSY = Failure(
    ResultCode.SUSPECT_BUSY, "The endpoint already runs a suspect request."
)


class LocalEndpoint:
    """One endpoint of this instance.

    Attributes:
      name: Name of the endpoint.
      service: Service that it serves.
      kind: `model` or `plain`.
      engine: Client of the endpoint.
      incarnation: Run of the engine, as it reported it.
      report: State for the entries.
    """

    def __init__(self, settings: EndpointSettings, engine: Engine):
        self.name = settings.name
        self.service = settings.service
        self.kind = settings.kind
        self.engine = engine
        self.incarnation = ""
        self.report = EndpointLoad(settings.name, state="lost")
        self._running_by_key: dict[tuple[str, int], Request] = {}
        self._suspect_running = False
        self._is_leaving = False

    def info(self, zone: str) -> EndpointInfo:
        """Returns what the Hello message tells of the endpoint."""
        return EndpointInfo(
            self.name, self.service, zone, self.incarnation, self.report.version
        )

    def begin(self, request: Request) -> Failure | None:
        """Notes that a request starts.

        Errors:
          SUSPECT_BUSY: Two suspects must not run together, or a second crash
            would not tell which of them is the cause.
        """
        if request.suspect:
            if self._suspect_running:
                return SUSPECT_BUSY
            self._suspect_running = True
        self._running_by_key[request.request_id, request.attempt] = request
        return None

    def finish(self, request: Request) -> None:
        """Notes that a request ended."""
        self._running_by_key.pop((request.request_id, request.attempt), None)
        if request.suspect:
            self._suspect_running = False

    def running_fingerprints(self) -> tuple[bytes, ...]:
        """Returns the fingerprints of the requests in progress."""
        return tuple(
            {
                request.fingerprint
                for request in self._running_by_key.values()
                if request.fingerprint
            }
        )

    def take_report(self, report: EngineLoad | Failure) -> bool:
        """Takes an engine's load report, or that it gave none.

        Returns:
          True if this shows that the engine ended or was restarted.
        """
        if isinstance(report, Failure):
            ended = self.report.state != "lost"
            self.report = EndpointLoad(self.name, state="lost")
            return ended
        restarted = self.incarnation not in ("", report.incarnation)
        ended = restarted and self.report.state != "lost"
        self.incarnation = report.incarnation
        self.report = EndpointLoad(
            name=self.name,
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            free_blocks=report.free_blocks,
            version=report.version,
            state="leaving" if self._is_leaving else "live",
            added=report.added,
            evicted=report.evicted,
        )
        return ended

    def leave(self) -> None:
        """Reports the endpoint as leaving from now on, unless it is lost."""
        self._is_leaving = True
        if self.report.state == "live":
            self.report = self.report._replace(
                state="leaving", added=(), evicted=()
            )

    async def watch(self, on_report) -> None:
        """Asks the engine for its load until cancelled.

        Args:
          on_report: Called as on_report(endpoint, ended) after each answer.
        """
        while True:
            report = await self.engine.load()
            before = self.running_fingerprints()
            ended = self.take_report(report)
            if ended:
                logs.event(
                    logging.WARNING,
                    "Endpoint ended",
                    endpoint=self.name,
                    running=len(before),
                )
            on_report(self, ended)
            await asyncio.sleep(LOAD_INTERVAL_S)

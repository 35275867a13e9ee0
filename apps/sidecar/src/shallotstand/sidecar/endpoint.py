"""An endpoint beside the sidecar and what runs on it."""

import asyncio
import contextlib
import time

from absl import logging
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.protocols import Engine, EngineLoad
from shallotstand.link.messages import (
    Crash,
    EndpointInfo,
    EndpointLoad,
    Request,
)
from shallotstand.sidecar.settings import EndpointSettings

LOAD_INTERVAL_S = 1.0
# A request that was cut ran on the engine when that ended, if the next load
# report shows so; a report takes at most 2 s.
CUT_MEMORY_S = 4.0
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
      added: Hashes that the last report says entered the prefix cache.
      evicted: Hashes that it says left it.
    """

    def __init__(self, settings: EndpointSettings, engine: Engine):
        self.name = settings.name
        self.service = settings.service
        self.kind = settings.kind
        self.engine = engine
        self.incarnation = ""
        self.report = EndpointLoad(settings.name, state="lost")
        self.added: tuple[int, ...] = ()
        self.evicted: tuple[int, ...] = ()
        self._running_by_key: dict[tuple[str, int], Request] = {}
        self._suspect_running = False
        self._is_leaving = False
        self._cut: list[tuple[float, Request]] = []
        self._look_now = asyncio.Event()

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

    def note_cut(self, request: Request) -> None:
        """Notes that the engine cut a request's answer.

        When an engine ends, its answers end before its next load report is
        missed, so the requests are remembered until then.
        """
        self._cut.append((time.monotonic(), request))
        self._look_now.set()

    def _crash(self, incarnation: str) -> Crash:
        """Returns what ran on the engine when it ended."""
        since = time.monotonic() - CUT_MEMORY_S
        cut = [request for at, request in self._cut if at >= since]
        self._cut = []
        requests = [
            request
            for request in (*self._running_by_key.values(), *cut)
            if request.fingerprint
        ]
        return Crash(
            self.name,
            incarnation,
            tuple({request.fingerprint for request in requests}),
            tuple({r.fingerprint for r in requests if r.suspect}),
        )

    def take_report(self, report: EngineLoad | Failure) -> Crash | None:
        """Takes an engine's load report, or that it gave none.

        Returns:
          What ran, if this shows that the engine ended or was restarted.
        """
        before = self.incarnation
        ended = self._take_report(report)
        return self._crash(before) if ended else None

    def _take_report(self, report: EngineLoad | Failure) -> bool:
        self.added = self.evicted = ()
        if isinstance(report, Failure):
            ended = self.report.state != "lost"
            self.report = EndpointLoad(
                self.name, state="lost", incarnation=self.incarnation
            )
            return ended
        restarted = self.incarnation not in ("", report.incarnation)
        ended = restarted and self.report.state != "lost"
        self.incarnation = report.incarnation
        self.added, self.evicted = report.added, report.evicted
        self.report = EndpointLoad(
            name=self.name,
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            free_blocks=report.free_blocks,
            version=report.version,
            state="leaving" if self._is_leaving else "live",
            incarnation=report.incarnation,
        )
        return ended

    def leave(self) -> None:
        """Reports the endpoint as leaving from now on, unless it is lost."""
        self._is_leaving = True
        if self.report.state == "live":
            self.report = self.report._replace(state="leaving")

    async def watch(self, on_report) -> None:
        """Asks the engine for its load until cancelled.

        Args:
          on_report: Called as on_report(endpoint, crash) after each answer,
            with the Crash message if the engine ended.
        """
        while True:
            self._look_now.clear()
            report = await self.engine.load()
            crash = self.take_report(report)
            if crash is not None:
                logs.event(
                    logging.WARNING,
                    "Endpoint ended",
                    endpoint=self.name,
                    running=len(crash.fingerprints),
                )
            on_report(self, crash)
            await self._wait_interval()

    async def _wait_interval(self) -> None:
        """Waits for the next report, which a cut answer brings forward."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOAD_INTERVAL_S):
                await self._look_now.wait()

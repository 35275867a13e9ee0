"""State of an endpoint on the sidecar's instance and of its requests."""

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
# If an engine ends within this time after an answer was cut, the request counts
# as one that ran when the engine ended. A load report, which shows the end,
# takes at most 2 s.
CUT_RETENTION_S = 4.0
SUSPECT_BUSY = Failure(
    ResultCode.SUSPECT_BUSY, "The endpoint already runs a suspect request."
)


class LocalEndpoint:
    """One endpoint of this instance.

    Attributes:
      name: Name of the endpoint.
      service: Service that the endpoint serves.
      kind: `model` or `plain`.
      engine: Client of the endpoint.
      incarnation: Identifier of the engine's run, from its last load report.
      report: Latest state, as it is reported to the entries.
      added: Hashes that entered the prefix cache, from the last load report.
      evicted: Hashes that left the prefix cache, from the last load report.
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
        self._cut_requests: list[tuple[float, Request]] = []
        self._poll_now = asyncio.Event()

    def info(self, zone: str) -> EndpointInfo:
        """Returns the description of the endpoint for the Hello message."""
        return EndpointInfo(
            self.name, self.service, zone, self.incarnation, self.report.version
        )

    def start_request(self, request: Request) -> Failure | None:
        """Records the start of a request.

        Errors:
          SUSPECT_BUSY: Another suspect request is running. Two suspects must
            not run together, as a second crash would then not show which of
            them is the cause.
        """
        if request.suspect:
            if self._suspect_running:
                return SUSPECT_BUSY
            self._suspect_running = True
        self._running_by_key[request.request_id, request.attempt] = request
        return None

    def finish_request(self, request: Request) -> None:
        """Records the end of a request."""
        self._running_by_key.pop((request.request_id, request.attempt), None)
        if request.suspect:
            self._suspect_running = False

    def record_cut_answer(self, request: Request) -> None:
        """Records that the engine cut a request's answer.

        When an engine ends, its answers end before its next load report fails,
        so the requests are kept until then.
        """
        self._cut_requests.append((time.monotonic(), request))
        self._poll_now.set()

    def _make_crash(self, incarnation: str) -> Crash:
        """Returns a Crash message with the requests that ran at the end."""
        oldest = time.monotonic() - CUT_RETENTION_S
        cut_requests = [
            request
            for recorded_at, request in self._cut_requests
            if recorded_at >= oldest
        ]
        self._cut_requests = []
        requests = [
            request
            for request in (*self._running_by_key.values(), *cut_requests)
            if request.fingerprint
        ]
        return Crash(
            self.name,
            incarnation,
            tuple({request.fingerprint for request in requests}),
            tuple({r.fingerprint for r in requests if r.suspect}),
        )

    def receive_load(self, report: EngineLoad | Failure) -> Crash | None:
        """Receives an engine's load report, or the failure to get one.

        Returns:
          A Crash message if the engine ended or was restarted, otherwise None.
        """
        previous_incarnation = self.incarnation
        ended = self._update_report(report)
        return self._make_crash(previous_incarnation) if ended else None

    def _update_report(self, report: EngineLoad | Failure) -> bool:
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

    def mark_leaving(self) -> None:
        """Sets the reported state to `leaving`, except while it is `lost`."""
        self._is_leaving = True
        if self.report.state == "live":
            self.report = self.report._replace(state="leaving")

    async def watch(self, on_report) -> None:
        """Polls the engine's load until cancelled.

        Args:
          on_report: Called as on_report(endpoint, crash) after each answer,
            with the Crash message if the engine ended.
        """
        while True:
            self._poll_now.clear()
            report = await self.engine.load()
            crash = self.receive_load(report)
            if crash is not None:
                logs.event(
                    logging.WARNING,
                    "Endpoint ended",
                    endpoint=self.name,
                    running=len(crash.fingerprints),
                )
            on_report(self, crash)
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        """Waits for the poll interval, or until an answer is cut."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOAD_INTERVAL_S):
                await self._poll_now.wait()

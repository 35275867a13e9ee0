"""Records requests for metrics and service objectives."""

import asyncio
from typing import Protocol

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.types import Catalog
from shallotstand.observe.metrics import Metrics
from shallotstand.observe.slo_recorder import SloRecorder

_FLUSH_INTERVAL_S = 60.0
# These results are caused by the caller and say nothing about the service.
_EXCLUDED_FROM_OBJECTIVES = frozenset(
    (
        ResultCode.KEY_MISSING,
        ResultCode.KEY_UNKNOWN,
        ResultCode.NOT_ALLOWED,
        ResultCode.KEY_WITHDRAWN,
        ResultCode.ROUTE_UNKNOWN,
        ResultCode.BAD_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.CANCELLED,
        ResultCode.STREAM_KEY_WITHDRAWN,
    )
)


class RequestRecord:
    """Data recorded about a request in progress.

    Attributes:
      arrived_at: Monotonic time of arrival in seconds.
      service: Name of the service; empty until the route is known.
      account: Name of the client account; empty for open services.
      answer_start_s: Seconds from the arrival until the answer began; None
        until then.
    """

    def __init__(self, arrived_at: float):
        self.arrived_at = arrived_at
        self.service = ""
        self.account = ""
        self.answer_start_s: float | None = None


class TrafficRecorder(Protocol):
    """Records the arrival, the start of the answer and the end of requests."""

    def record_arrival(self) -> RequestRecord:
        """Returns a new record for a request that arrives."""
        ...

    def record_answer_start(self, record: RequestRecord) -> None:
        """Records that the first part of the answer has arrived."""
        ...

    def record_end(
        self, record: RequestRecord, code: int, tokens: int = 0
    ) -> None:
        """Records the end of a request."""
        ...


class NullTrafficRecorder:
    """Ignores all requests, for gateways without metrics."""

    def record_arrival(self) -> RequestRecord:
        """Returns an empty record."""
        return RequestRecord(0.0)

    def record_answer_start(self, record: RequestRecord) -> None:
        """Does nothing."""

    def record_end(
        self, record: RequestRecord, code: int, tokens: int = 0
    ) -> None:
        """Does nothing."""


class MetricsTrafficRecorder:
    """Counts requests for metrics and service objectives."""

    def __init__(self, metrics: Metrics, recorder: SloRecorder, clock: Clock):
        self._metrics = metrics
        self._recorder = recorder
        self._clock = clock
        self._latency_limits_s_by_service: dict[str, float] = {}
        self._observe_answer_start = metrics.latency(
            "answer_start_seconds", "Time until an answer began.", "service"
        )
        self._observe_answer_end = metrics.latency(
            "answer_end_seconds", "Time until an answer ended.", "service"
        )

    def adopt(self, catalog: Catalog) -> None:
        """Applies the objectives of a configuration."""
        self._latency_limits_s_by_service = {
            name: service.objective_latency_s
            for name, service in catalog.services_by_name.items()
            if service.objective_good_share > 0
        }

    def record_arrival(self) -> RequestRecord:
        """Returns a new record for a request that arrives."""
        return RequestRecord(self._clock.monotonic())

    def record_answer_start(self, record: RequestRecord) -> None:
        """Records that the first part of the answer has arrived."""
        record.answer_start_s = self._clock.monotonic() - record.arrived_at
        self._observe_answer_start(record.service, record.answer_start_s)

    def record_end(
        self, record: RequestRecord, code: int, tokens: int = 0
    ) -> None:
        """Records the end of a request.

        Args:
          record: Data recorded about the request so far.
          code: Result code.
          tokens: Number of tokens billed to the client account.
        """
        self._metrics.requests.labels(record.service, str(int(code))).inc()
        if tokens and record.account:
            self._metrics.tokens.labels(record.account).inc(tokens)
        if record.answer_start_s is not None:
            duration_s = self._clock.monotonic() - record.arrived_at
            self._observe_answer_end(record.service, duration_s)
        limit_s = self._latency_limits_s_by_service.get(record.service)
        if limit_s is None or code in _EXCLUDED_FROM_OBJECTIVES:
            return
        is_good = code == ResultCode.OK and (
            limit_s == 0
            or (
                record.answer_start_s is not None
                and record.answer_start_s <= limit_s
            )
        )
        self._recorder.record_request(record.service, record.account, is_good)

    async def flush(self) -> None:
        """Stores the objective counts each minute, until cancelled."""
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_S)
            failure = await self._recorder.flush()
            if isinstance(failure, Failure):
                logs.event(
                    logging.WARNING,
                    "Objective counts could not be written to the store",
                    code=int(failure.code),
                    reason=failure.reason,
                )

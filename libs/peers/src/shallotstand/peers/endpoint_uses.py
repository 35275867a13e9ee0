"""Converts between the states of endpoints and what gateways tell peers."""

import statistics
from typing import NamedTuple

from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.request_shares import Competitor, PeerShares
from shallotstand.dispatch.stated_limits import StatedLimit
from shallotstand.link.gateway_messages import EndpointUse

# Largest value of a 32-bit field of a message.
_MAX_FIELD = 2**32 - 1
# Largest value of a 16-bit field of a message.
_MAX_WAITING = 2**16 - 1


class UseReport(NamedTuple):
    """The use of an endpoint that a peer reports.

    Attributes:
      use: The report.
      process_id: Identifier of the peer's process.
      received_at: Monotonic time in seconds at which it arrived.
    """

    use: EndpointUse
    process_id: str
    received_at: float


def make_use(endpoint_id: str, state: EndpointState, now: float) -> EndpointUse:
    """Returns the report of this process's use of an endpoint."""
    stated = state.shares.stated_limit
    limit = None if stated is None else stated.requests_per_s
    return EndpointUse(
        endpoint_id,
        state.running,
        int((state.seconds_per_unit or 0.0) * 1e6),
        has_statement=stated is not None,
        statement_age_ms=(
            0
            if stated is None
            else min(_MAX_FIELD, int((now - stated.stated_at) * 1000))
        ),
        has_limit=limit is not None,
        limit_per_1000_s=min(_MAX_FIELD, int((limit or 0.0) * 1000)),
        waiting=min(
            _MAX_WAITING, sum(one.waiting for one in state.shares.competitors)
        ),
        work_left_ms=min(_MAX_FIELD, round(state.work_left_s * 1000)),
    )


def merge_reports(reports: list[UseReport]) -> EndpointState:
    """Merges the states of one endpoint that several peers report."""
    seconds_per_unit = [
        report.use.pace_us / 1e6 for report in reports if report.use.pace_us
    ]
    return EndpointState(
        sum(report.use.running for report in reports),
        statistics.median(seconds_per_unit) if seconds_per_unit else None,
        PeerShares(
            max(
                map(
                    _stated_limit,
                    (report for report in reports if report.use.has_statement),
                ),
                key=lambda stated: stated.stated_at,
                default=None,
            ),
            tuple(
                Competitor(report.process_id, report.use.waiting)
                for report in reports
                if report.use.waiting
            ),
        ),
        sum(report.use.work_left_ms for report in reports) / 1000,
    )


def _stated_limit(report: UseReport) -> StatedLimit:
    use = report.use
    return StatedLimit(
        use.limit_per_1000_s / 1000 if use.has_limit else None,
        report.received_at - use.statement_age_ms / 1000,
    )

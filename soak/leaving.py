"""Checks that no request reaches an engine that has said that it leaves."""

import collections
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

# A gateway may go on sending requests for this long after it has passed on an
# answer that says so.
DRAIN_S = 2.0


class PassedAnswer(NamedTuple):
    """An answer that a gateway passed on to a caller.

    Attributes:
      request_id: The caller's attempt.
      gateway: Name of the gateway.
      engine_start: Start of the engine that gave it; empty if none did.
      says_leaving: Whether the engine said that it leaves.
      sent_at: Monotonic time in seconds at which the caller sent the request.
      answered_at: Monotonic time in seconds at which the head arrived.
      status: Its status; 0 if there was none.
    """

    request_id: str
    gateway: str
    engine_start: str
    says_leaving: bool
    sent_at: float
    answered_at: float
    status: int


def find_late_requests(
    answers: Iterable[PassedAnswer],
    requests_by_start: Mapping[str, Collection[str]],
    excused_at: Iterable[tuple[str, float]] = (),
) -> Iterator[str]:
    """Yields a description of each request that came too late.

    Args:
      answers: All answers that the gateways passed on.
      requests_by_start: Requests that reached each start of an engine.
      excused_at: Gateways that were restarted or frozen, with the monotonic
        time; what they passed on before does not bind them.
    """
    answers = list(answers)
    excuses_by_gateway = collections.defaultdict(list)
    for gateway, at in excused_at:
        excuses_by_gateway[gateway].append(at)
    told_by_gateway = collections.defaultdict(list)
    for answer in answers:
        if answer.says_leaving:
            told_by_gateway[answer.gateway].append(answer)
    for late in answers:
        excuses = excuses_by_gateway[late.gateway]
        starts = {
            told.engine_start
            for told in told_by_gateway[late.gateway]
            if late.sent_at > told.answered_at + DRAIN_S
            and not any(
                told.answered_at < at <= late.answered_at for at in excuses
            )
        }
        for start in starts:
            if late.request_id in requests_by_start.get(start, ()):
                yield (
                    f"{late.request_id}: reached {start} through "
                    f"{late.gateway}, which knew that it leaves"
                )

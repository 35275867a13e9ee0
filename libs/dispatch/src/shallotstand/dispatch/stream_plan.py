"""Which software version begins a stream, as all processes can work it out.

The version follows from the identifier of the stream and a plan in the store,
so it stays known after all processes have ended, and a stream costs no call. A
plan changes with the versions in service. A stream whose version the plans of
the last minutes don't agree on is recorded in the store before it begins; for
one without a record, the oldest of them holds.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from shallotstand.core import rendezvous
from shallotstand.dispatch.endpoint import Endpoint

# Longest time from the start of a stream to the end of its last continuation.
MAX_STREAM_S = 120.0
# A process may begin streams with a plan that the store has confirmed within
# this time.
MAX_PLAN_AGE_S = 60.0
# A stream that is continued may have begun under plans that were in force
# within this time.
CONTINUATION_WINDOW_S = MAX_STREAM_S + MAX_PLAN_AGE_S
# Streams are recorded if plans within this time disagree; longer by the
# difference of the instances' clocks.
RECORD_WINDOW_S = CONTINUATION_WINDOW_S + 20.0
# Sum of the shares of a plan.
SHARES = 16
# A plan is replaced once a version's share has changed by this much.
MIN_SHARE_CHANGE = 4


class Period(NamedTuple):
    """The shares of the software versions of a service from a time on.

    Attributes:
      share_by_version: Share of the streams that each version begins.
      began_at: Unix time in seconds from which it has been in force.
    """

    share_by_version: dict[str, int]
    began_at: float

    def version_of(self, stream_id: str) -> str:
        """Returns the version that begins a stream in this period."""
        return max(
            (
                (rendezvous.weight(stream_id, f"{version}/{number}"), version)
                for version, share in self.share_by_version.items()
                for number in range(share)
            )
        )[1]


class StreamPlan(NamedTuple):
    """The periods of a service, the oldest first; never empty."""

    periods: tuple[Period, ...]

    @property
    def current(self) -> Period:
        """The period in force."""
        return self.periods[-1]

    def is_recorded(self, stream_id: str, version: str, now: float) -> bool:
        """Returns whether a stream that begins now has to be recorded.

        Args:
          stream_id: The stream.
          version: The version that begins it.
          now: Unix time in seconds.
        """
        return any(
            period.version_of(stream_id) != version
            for period in self._periods_since(now - RECORD_WINDOW_S)
        )

    def unrecorded_version(self, stream_id: str, now: float) -> str:
        """Returns the version that began a stream without a record."""
        oldest = self._periods_since(now - CONTINUATION_WINDOW_S)[0]
        return oldest.version_of(stream_id)

    def with_period(self, period: Period) -> "StreamPlan":
        """Returns the plan with a new period, without those long past."""
        kept = self._periods_since(period.began_at - 2 * RECORD_WINDOW_S)
        return StreamPlan((*kept, period))

    def _periods_since(self, since: float) -> tuple[Period, ...]:
        """Returns the periods that were in force at some time since then."""
        return tuple(
            period
            for period, following in zip(
                self.periods, (*self.periods[1:], None), strict=True
            )
            if following is None or following.began_at >= since
        )


def observe_shares(endpoints: Iterable[Endpoint]) -> dict[str, int]:
    """Returns the shares of the software versions by their slots."""
    slots_by_version: collections.Counter[str] = collections.Counter()
    for endpoint in endpoints:
        slots_by_version[endpoint.software_version] += endpoint.slots
    total = slots_by_version.total()
    return {
        version: max(1, round(SHARES * slots / total))
        for version, slots in slots_by_version.items()
    }


def is_outdated(period: Period, share_by_version: dict[str, int]) -> bool:
    """Returns whether observed shares call for a new period."""
    return bool(share_by_version) and (
        period.share_by_version.keys() != share_by_version.keys()
        or any(
            abs(share - period.share_by_version[version]) >= MIN_SHARE_CHANGE
            for version, share in share_by_version.items()
        )
    )

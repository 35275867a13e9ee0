"""Decides which endpoints may get work.

The sources are the platform's list of instances, the links of this process,
and the suspicions of other entries.
"""

import enum
from collections.abc import Iterable

from shallotstand.control.readmission import Readmission
from shallotstand.core.clock import Clock
from shallotstand.platform.protocols import Instance

# If more than this share of a zone's endpoints disappears from the list within
# the window, the list is distrusted rather than the endpoints.
MAX_TRUSTED_LOSS_SHARE = 1 / 3
LOSS_WINDOW_S = 30.0


class LinkState(enum.Enum):
    """State of this process's link to an endpoint."""

    UP = "up"
    SILENT = "silent"
    GONE = "gone"


class MemberState(enum.Enum):
    """State of an endpoint; only LIVE endpoints get new work.

    DAMPED endpoints wait for the delay that follows a suspicion.
    """

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DAMPED = "damped"
    REMOVED = "removed"
    GONE = "gone"


class Member:
    """Everything known about one endpoint.

    Attributes:
      zone: Availability zone.
      link: State of this process's link to the endpoint.
      is_listed: Whether the last list contained the endpoint.
      delisted_at: Monotonic time in seconds at which the endpoint
        disappeared from the list; None if it did not.
      is_listed_as_leaving: Whether the last list gave its state as leaving.
      is_announced_leaving: Whether its sidecar or an operator announced that it
        is leaving.
      suspected_by: Other entries that suspect the endpoint.
      readmission: Delay before the endpoint gets work after a suspicion.
    """

    def __init__(self, zone: str, clock: Clock):
        self.zone = zone
        self.link = LinkState.UP
        self.is_listed = False
        self.delisted_at: float | None = None
        self.is_listed_as_leaving = False
        self.is_announced_leaving = False
        self.suspected_by: set[str] = set()
        self.readmission = Readmission(clock)


class Membership:
    """Tracks the state of all endpoints of one process, without any I/O.

    An endpoint becomes known through its link. The list alone adds no
    endpoints, since it lags and an endpoint without a link can't be reached.
    """

    def __init__(self, entries: int, clock: Clock):
        """Initializes the membership without any endpoint.

        Args:
          entries: Number of entries in the settings, including this one.
          clock: Clock of the process.
        """
        self._majority = entries // 2 + 1
        self._clock = clock
        self._members_by_name: dict[str, Member] = {}
        self._disputed_by_zone: dict[str, set[str]] = {}

    def set_link(self, name: str, zone: str, link: LinkState) -> None:
        """Records the state of this process's link to an endpoint."""
        member = self._members_by_name.get(name)
        if member is None:
            member = Member(zone, self._clock)
            self._members_by_name[name] = member
        if member.link is LinkState.GONE and link is LinkState.UP:
            # A new link shows that earlier news of the endpoint is outdated.
            member.delisted_at = None
            member.is_announced_leaving = False
        member.link = link
        self._update_readmission(member)
        self._resolve_disputes()

    def set_leaving(self, name: str, is_leaving: bool) -> None:
        """Records whether an endpoint was announced as leaving.

        Its sidecar or an operator makes the announcement.
        """
        if member := self._members_by_name.get(name):
            member.is_announced_leaving = is_leaving

    def record_suspicions(self, entry: str, suspects: Iterable[str]) -> None:
        """Records all endpoints that another entry currently suspects."""
        suspects = frozenset(suspects)
        for name, member in self._members_by_name.items():
            if name in suspects:
                member.suspected_by.add(entry)
            else:
                member.suspected_by.discard(entry)
            self._update_readmission(member)

    def receive_instance_list(self, instances: Iterable[Instance]) -> None:
        """Records the platform's complete list of instances."""
        listed_by_name = {
            instance.name: instance
            for instance in instances
            if instance.role == "endpoint"
        }
        for name, member in self._members_by_name.items():
            self._update_listing(member, listed_by_name.get(name))
        for zone in {m.zone for m in self._members_by_name.values()}:
            self._update_disputed_endpoints(zone)
        self._resolve_disputes()

    def is_list_trusted(self, zone: str) -> bool:
        """Returns whether the list is used for a zone."""
        return not self._disputed_by_zone.get(zone)

    def endpoint_state(self, name: str) -> MemberState:
        """Returns the state of an endpoint."""
        member = self._members_by_name.get(name)
        if member is None or member.link is LinkState.GONE:
            return MemberState.GONE
        if self.is_list_trusted(member.zone) and (
            member.delisted_at is not None
            or self._is_suspected_by_majority(member)
        ):
            return MemberState.REMOVED
        if member.is_announced_leaving or member.is_listed_as_leaving:
            return MemberState.LEAVING
        if member.link is LinkState.SILENT:
            return MemberState.SUSPECTED
        if member.readmission.is_waiting:
            return MemberState.DAMPED
        return MemberState.LIVE

    def live_endpoints(self) -> frozenset[str]:
        """Returns the endpoints that may get new work."""
        return frozenset(
            name
            for name in self._members_by_name
            if self.endpoint_state(name) is MemberState.LIVE
        )

    def suspected_endpoints(self) -> frozenset[str]:
        """Returns the endpoints that this process suspects.

        They are reported to the other entries.
        """
        return frozenset(
            name
            for name, member in self._members_by_name.items()
            if member.link is not LinkState.UP
        )

    def _is_suspected_by_majority(self, member: Member) -> bool:
        is_suspected_here = member.link is not LinkState.UP
        return len(member.suspected_by) + is_suspected_here >= self._majority

    def _update_readmission(self, member: Member) -> None:
        is_suspected = member.link is not LinkState.UP or (
            self.is_list_trusted(member.zone)
            and self._is_suspected_by_majority(member)
        )
        member.readmission.update(is_suspected)

    def _update_listing(self, member: Member, listed: Instance | None) -> None:
        if listed is not None:
            member.delisted_at = None
        elif member.is_listed:
            member.delisted_at = self._clock.monotonic()
        member.is_listed = listed is not None
        member.is_listed_as_leaving = (
            listed is not None and listed.state == "leaving"
        )

    def _update_disputed_endpoints(self, zone: str) -> None:
        """Disputes recent disappearances from the list if there are many.

        While a zone has disputed endpoints, the list is not used for it.
        """
        since = self._clock.monotonic() - LOSS_WINDOW_S
        zone_members = {
            name: member
            for name, member in self._members_by_name.items()
            if member.zone == zone
        }
        lost = {
            name
            for name, member in zone_members.items()
            if member.delisted_at is not None and member.delisted_at >= since
        }
        listed_count = sum(member.is_listed for member in zone_members.values())
        disputed = self._disputed_by_zone.setdefault(zone, set())
        if disputed or len(lost) > MAX_TRUSTED_LOSS_SHARE * (
            listed_count + len(lost)
        ):
            disputed |= lost

    def _resolve_disputes(self) -> None:
        """Ends disputes about endpoints that are listed again or unlinked."""
        for disputed in self._disputed_by_zone.values():
            disputed -= {
                name
                for name in disputed
                if self._members_by_name[name].delisted_at is None
                or self._members_by_name[name].link is LinkState.GONE
            }

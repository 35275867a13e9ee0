"""Requests under which endpoints ended, as known to all processes together.

A connection that ends under a request is taken for the end of its endpoint
until the platform's registry shows that the endpoint lives on. A request with
several such ends and no response since is refused, and seldom tried again: it
may have run beside the one that is to blame.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoints import EndpointRegistry

# Crashes after which a request is refused.
MAX_CRASHES = 3
# A crash counts for this long without a confirmation. The registry drops an
# endpoint after three intervals of silence, and a watch reports that later.
CONFIRMATION_S = 6.0
# Reports of one endpoint within this time tell of the same crash.
SAME_CRASH_S = 0.3
# An endpoint needs at least this long to crash, start and crash again.
RESTART_S = 1.0
# Seconds after its last crash at which a refused request is tried once more, by
# the number of crashes beyond `MAX_CRASHES`. After that, it is refused.
TRIAL_DELAYS_S = (15.0, 60.0)
# Seconds after its last crash for which a request is remembered.
MEMORY_S = 3600.0
# Requests that are remembered; beyond this, the oldest are forgotten.
MAX_REQUESTS = 1000


class Crash(NamedTuple):
    """The end of an endpoint's connection while it ran a request.

    Attributes:
      fingerprint: The request.
      endpoint_id: The endpoint.
      started_ms: Start of the endpoint, in Unix milliseconds.
      at: Monotonic time in seconds.
      is_confirmed: Whether the endpoint has ended.
    """

    fingerprint: bytes
    endpoint_id: str
    started_ms: int
    at: float
    is_confirmed: bool = False


class CrashListener(Protocol):
    """Learns what a process observes, to tell others of it."""

    def record_crash(self, crash: Crash) -> None:
        """Records that a request of this process was cut off."""
        ...

    def record_cleared(self, fingerprint: bytes) -> None:
        """Records that a suspected request of this process had a response."""
        ...


class CrashRecord:
    """Requests under which endpoints have ended.

    Attributes:
      listener: Tells the other processes what this one observes; None if there
        are none.
      may_try: Returns whether this process is the one that may try a refused
        request again.
      is_registry_current: Returns whether the store confirms the registered
        endpoints.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        clock: Clock,
    ):
        """Creates an empty record.

        Args:
          endpoint_registry: The endpoints.
          clock: Source of time.
        """
        self._endpoint_registry = endpoint_registry
        self._clock = clock
        self._crashes_by_fingerprint: dict[bytes, list[Crash]] = {}
        self._tried_at_by_fingerprint: dict[bytes, float] = {}
        self.listener: CrashListener | None = None
        self.may_try: Callable[[str], bool] = lambda _: True
        self.is_registry_current: Callable[[], bool] = lambda: True

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._crashes_by_fingerprint

    def refusal(self, fingerprint: bytes) -> Failure | None:
        """Returns why a request is not sent; None if it may be.

        Errors:
          ENDPOINTS_CRASH: Endpoints have ended each time that they ran it.
        """
        if fingerprint not in self._crashes_by_fingerprint:
            return None
        excess = self._count(fingerprint) - MAX_CRASHES
        if excess < 0:
            return None
        wait_s = self._seconds_until_trial(fingerprint, excess)
        if wait_s <= 0 and self.may_try(fingerprint.hex()):
            self._tried_at_by_fingerprint[fingerprint] = self._clock.monotonic()
            self._log("Crashing request is tried again", fingerprint)
            return None
        return Failure(
            ResultCode.ENDPOINTS_CRASH,
            "Endpoints have ended each time that they ran this request.",
            retry_after_s=max(1.0, wait_s),
        )

    def may_send_again(self, fingerprint: bytes) -> bool:
        """Returns whether a request that was cut off may be repeated."""
        return (
            fingerprint not in self._crashes_by_fingerprint
            or self._count(fingerprint) < MAX_CRASHES
        )

    def record_cut(self, fingerprint: bytes, endpoint: Endpoint) -> None:
        """Records that a request of this process was cut off."""
        current = self._endpoint_registry.by_id.get(endpoint.id)
        if current is not None and self._endpoint_registry.is_leaving(current):
            # It ends as planned.
            return
        crash = Crash(
            fingerprint,
            endpoint.id,
            endpoint.started_ms,
            self._clock.monotonic(),
        )
        if self.add(crash) and self.listener is not None:
            self.listener.record_crash(crash)

    def record_response(self, fingerprint: bytes) -> None:
        """Records that an endpoint has answered a request of this process."""
        if fingerprint in self._crashes_by_fingerprint:
            self.clear(fingerprint)
            if self.listener is not None:
                self.listener.record_cleared(fingerprint)

    def add(self, crash: Crash) -> bool:
        """Adds a crash; returns whether it was new."""
        known = self._crashes_by_fingerprint.setdefault(crash.fingerprint, [])
        for index, other in enumerate(known):
            if _is_same_crash(crash, other):
                known[index] = other._replace(
                    is_confirmed=crash.is_confirmed or other.is_confirmed
                )
                return False
        known.append(crash)
        if self._count(crash.fingerprint) == MAX_CRASHES:
            self._log("Request crashes endpoints", crash.fingerprint)
        self._forget_oldest()
        return True

    def clear(self, fingerprint: bytes) -> None:
        """Forgets the crashes of a request that an endpoint has answered."""
        if self._crashes_by_fingerprint.get(fingerprint):
            self._log("Request cleared of crashes", fingerprint)
        self._crashes_by_fingerprint.pop(fingerprint, None)
        self._tried_at_by_fingerprint.pop(fingerprint, None)

    def crashes(
        self, fingerprints: Iterable[bytes] | None = None
    ) -> list[Crash]:
        """Returns the crashes of the given requests, or of all."""
        chosen = (
            self._crashes_by_fingerprint
            if fingerprints is None
            else fingerprints
        )
        return [
            crash
            for fingerprint in chosen
            for crash in self._crashes_by_fingerprint.get(fingerprint, ())
        ]

    def crash_count(self, fingerprint: bytes) -> int:
        """Returns how many endpoints may have ended because of a request."""
        return len(self._crashes_by_fingerprint.get(fingerprint, ()))

    def review(self) -> list[Crash]:
        """Confirms crashes, and drops those of endpoints that live on.

        Returns:
          The crashes that are confirmed now, and were not before.
        """
        confirmed: list[Crash] = []
        now = self._clock.monotonic()
        is_current = self.is_registry_current()
        for fingerprint, crashes in list(self._crashes_by_fingerprint.items()):
            kept = [
                self._judge(crash) if is_current else crash
                for crash in crashes
                if now - crash.at < MEMORY_S
            ]
            kept = [crash for crash in kept if crash is not None]
            confirmed += [
                crash
                for crash in kept
                if crash.is_confirmed and crash not in crashes
            ]
            if kept:
                self._crashes_by_fingerprint[fingerprint] = kept
            else:
                del self._crashes_by_fingerprint[fingerprint]
                self._tried_at_by_fingerprint.pop(fingerprint, None)
        return confirmed

    def _judge(self, crash: Crash) -> Crash | None:
        """Returns a crash as the registry shows it; None if it was none."""
        if crash.is_confirmed:
            return crash
        if self._endpoint_registry.has_ended(
            crash.endpoint_id, crash.started_ms, crash.at
        ):
            return crash._replace(is_confirmed=True)
        if self._clock.monotonic() - crash.at < CONFIRMATION_S:
            return crash
        logs.event(
            logging.INFO,
            "Cut-off request has not crashed its endpoint",
            fingerprint=crash.fingerprint.hex(),
            endpoint=crash.endpoint_id,
        )
        return None

    def _count(self, fingerprint: bytes) -> int:
        """Returns the number of crashes for which a request is to blame."""
        now = self._clock.monotonic()
        return sum(
            (crash.is_confirmed or now - crash.at < CONFIRMATION_S)
            and not self._is_other_to_blame(crash)
            for crash in self._crashes_by_fingerprint[fingerprint]
        )

    def _is_other_to_blame(self, crash: Crash) -> bool:
        """Returns whether a request with more crashes ran beside this one."""
        count = self.crash_count(crash.fingerprint)
        return any(
            len(others) > count
            and any(_is_same_end(crash, other) for other in others)
            for others in self._crashes_by_fingerprint.values()
        )

    def _seconds_until_trial(self, fingerprint: bytes, excess: int) -> float:
        last_at = max(
            self._tried_at_by_fingerprint.get(fingerprint, float("-inf")),
            *(crash.at for crash in self._crashes_by_fingerprint[fingerprint]),
        )
        delay_s = (
            TRIAL_DELAYS_S[excess] if excess < len(TRIAL_DELAYS_S) else MEMORY_S
        )
        return last_at + delay_s - self._clock.monotonic()

    def _forget_oldest(self) -> None:
        if len(self._crashes_by_fingerprint) <= MAX_REQUESTS:
            return
        oldest = min(
            self._crashes_by_fingerprint,
            key=lambda key: (
                self.crash_count(key),
                self._crashes_by_fingerprint[key][-1].at,
            ),
        )
        del self._crashes_by_fingerprint[oldest]
        self._tried_at_by_fingerprint.pop(oldest, None)

    def _log(self, message: str, fingerprint: bytes) -> None:
        crashes = self._crashes_by_fingerprint[fingerprint]
        logs.event(
            logging.WARNING,
            message,
            fingerprint=fingerprint.hex(),
            endpoints=[crash.endpoint_id for crash in crashes],
            confirmed=sum(crash.is_confirmed for crash in crashes),
            last_s_ago=round(self._clock.monotonic() - crashes[-1].at, 3),
        )


def _is_same_end(one: Crash, other: Crash) -> bool:
    return (
        one.endpoint_id == other.endpoint_id
        and abs(one.at - other.at) < SAME_CRASH_S
    )


def _is_same_crash(one: Crash, other: Crash) -> bool:
    if (one.endpoint_id, one.started_ms) != (
        other.endpoint_id,
        other.started_ms,
    ):
        return _is_same_end(one, other)
    # The registry may not know of the next start yet. Times that processes tell
    # each other through the store can only be compared roughly.
    return (
        not (one.is_confirmed or other.is_confirmed)
        or abs(one.at - other.at) < RESTART_S
    )

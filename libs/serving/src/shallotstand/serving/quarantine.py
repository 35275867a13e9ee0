"""Quarantine of requests that crash endpoints, by content fingerprint.

A request that was running on an endpoint when the endpoint crashed is a
suspect. An endpoint runs one suspect at a time. A request involved in two
crashes is quarantined if it was the only suspect in one of them. Without this
condition, a harmless request would be quarantined too if two copies of it ran
next to copies of the request that causes the crashes.
"""

from collections.abc import Iterable
from typing import NamedTuple

from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure

QUARANTINE_S = 3600.0
CRASHES_TO_QUARANTINE = 2
# Stands for the crash of a suspect received from a peer, whose list does not
# name the endpoint and its incarnation.
_UNKNOWN_CRASH = ("", "")

_QUARANTINED = Failure(
    ResultCode.QUARANTINED, "This request was involved in two crashes."
)


class _Suspect(NamedTuple):
    """A suspect and its crashes.

    Attributes:
      crashes: Endpoint and incarnation of each crash that it was part of.
      ran_alone: Whether it ran as the only suspect in one of the crashes.
      expires_at: Monotonic time in seconds at which the suspicion ends.
    """

    crashes: frozenset[tuple[str, str]]
    ran_alone: bool
    expires_at: float


class CrashReport(NamedTuple):
    """Crash of an endpoint; the Crash message documents the fields."""

    endpoint: str
    incarnation: str
    fingerprints: tuple[bytes, ...]
    suspects: tuple[bytes, ...] = ()


class Quarantine:
    """Suspects and quarantined requests known to one process."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._suspects_by_fingerprint: dict[bytes, _Suspect] = {}
        self._expiry_by_fingerprint: dict[bytes, float] = {}

    def refusal(self, fingerprint: bytes) -> Failure | None:
        """Returns the failure for a quarantined request, None for others.

        Errors:
          QUARANTINED: The request was involved in two crashes and may not run.
        """
        self._expire()
        if fingerprint in self._expiry_by_fingerprint:
            return _QUARANTINED
        return None

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether the request must run as the only suspect."""
        self._expire()
        return fingerprint in self._suspects_by_fingerprint

    def record_crash(self, crash: CrashReport) -> tuple[bytes, ...]:
        """Records a crash that a sidecar or an entry has detected.

        Several entries may report the same crash, each with its own requests.

        Returns:
          Fingerprints that are quarantined because of this crash.
        """
        self._expire()
        return tuple(
            fingerprint
            for fingerprint in crash.fingerprints
            if self._record_suspect_crash(fingerprint, crash)
        )

    def clear_suspect(self, fingerprint: bytes) -> bool:
        """Clears the suspicion against a request that finished normally.

        Returns:
          Whether the request was a suspect; the other entries should then
          clear it too.
        """
        suspect = self._suspects_by_fingerprint.pop(fingerprint, None)
        return suspect is not None

    def release_request(self, fingerprint: bytes) -> bool:
        """Allows a request again, as an operator or a peer has asked.

        Returns:
          Whether the request was a suspect or quarantined.
        """
        was_suspect = self.clear_suspect(fingerprint)
        expiry = self._expiry_by_fingerprint.pop(fingerprint, None)
        return was_suspect or expiry is not None

    def merge_peer_state(
        self,
        suspects: Iterable[bytes],
        seconds_left_by_fingerprint: dict[bytes, float],
    ) -> None:
        """Adds the suspects and quarantines listed in a peer's Hello.

        Args:
          suspects: Fingerprints of suspects.
          seconds_left_by_fingerprint: Seconds left of each quarantine.
        """
        now = self._clock.monotonic()
        for fingerprint in suspects:
            self._suspects_by_fingerprint.setdefault(
                fingerprint,
                _Suspect(
                    frozenset({_UNKNOWN_CRASH}), False, now + QUARANTINE_S
                ),
            )
        for fingerprint, seconds_left in seconds_left_by_fingerprint.items():
            expiry = now + min(seconds_left, QUARANTINE_S)
            known = self._expiry_by_fingerprint.get(fingerprint, 0.0)
            self._expiry_by_fingerprint[fingerprint] = max(known, expiry)

    def suspects(self) -> tuple[bytes, ...]:
        """Returns the fingerprints of the suspects, for Hello."""
        self._expire()
        return tuple(self._suspects_by_fingerprint)

    def quarantined(self) -> dict[bytes, float]:
        """Returns the seconds left of each quarantine, for Hello."""
        self._expire()
        now = self._clock.monotonic()
        return {
            fingerprint: expiry - now
            for fingerprint, expiry in self._expiry_by_fingerprint.items()
        }

    def _record_suspect_crash(
        self, fingerprint: bytes, crash: CrashReport
    ) -> bool:
        """Records a crash for a request; returns whether it is quarantined."""
        now = self._clock.monotonic()
        known = self._suspects_by_fingerprint.get(fingerprint)
        crashes = known.crashes if known else frozenset()
        crashes |= {(crash.endpoint, crash.incarnation)}
        ran_alone = (known is not None and known.ran_alone) or (
            fingerprint in crash.suspects
        )
        if ran_alone and len(crashes) >= CRASHES_TO_QUARANTINE:
            self._suspects_by_fingerprint.pop(fingerprint, None)
            self._expiry_by_fingerprint[fingerprint] = now + QUARANTINE_S
            return True
        self._suspects_by_fingerprint[fingerprint] = _Suspect(
            crashes, ran_alone, now + QUARANTINE_S
        )
        return False

    def _expire(self) -> None:
        now = self._clock.monotonic()
        self._suspects_by_fingerprint = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.expires_at > now
        }
        self._expiry_by_fingerprint = {
            fingerprint: expiry
            for fingerprint, expiry in self._expiry_by_fingerprint.items()
            if expiry > now
        }

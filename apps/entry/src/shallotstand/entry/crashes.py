"""Synchronizes suspects and quarantined requests among the entries."""

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.link.messages import (
    Crash,
    Hello,
    QuarantinedRequest,
    Release,
)
from shallotstand.link.peer_connections import PeerConnectionManager
from shallotstand.serving.quarantine import CrashReport, Quarantine

_MS = 1000


class QuarantineSync:
    """Keeps this entry's quarantine in step with the other entries.

    Attributes:
      quarantine: Suspects and quarantined requests known to this entry.
      peer_connections: Connections to the peers; set right after construction.
    """

    peer_connections: PeerConnectionManager | None = None

    def __init__(self, clock: Clock):
        self.quarantine = Quarantine(clock)

    def add_to_hello(self, hello: Hello) -> Hello:
        """Returns the Hello message with suspects and quarantined requests."""
        quarantined = self.quarantine.quarantined()
        return hello._replace(
            suspects=self.quarantine.suspects(),
            quarantined=tuple(
                QuarantinedRequest(fingerprint, int(remaining_s * _MS))
                for fingerprint, remaining_s in quarantined.items()
            ),
        )

    def receive_hello(self, hello: Hello) -> None:
        """Merges the suspects and quarantined requests of another entry."""
        remaining_s_by_fingerprint = {
            request.fingerprint: request.left_ms / _MS
            for request in hello.quarantined
        }
        self.quarantine.merge_peer_state(
            hello.suspects, remaining_s_by_fingerprint
        )

    def receive_crash(self, crash: Crash) -> None:
        """Records a crash that a sidecar or another entry reported."""
        quarantined = self.quarantine.record_crash(CrashReport(*crash))
        for fingerprint in quarantined:
            logs.event(
                logging.WARNING,
                "Request quarantined",
                fingerprint=fingerprint.hex(),
                endpoint=crash.endpoint,
            )

    def report_lost_endpoint(self, crash: Crash) -> None:
        """Records and broadcasts the loss of an endpoint with its sidecar.

        A sidecar reports crashes to every entry itself, so only losses that
        this entry detected are broadcast.
        """
        self.receive_crash(crash)
        self._broadcast(crash)

    def receive_release(self, release: Release) -> None:
        """Releases requests that finished elsewhere or were released there."""
        for fingerprint in release.fingerprints:
            self.quarantine.release_request(fingerprint)

    def record_normal_end(self, fingerprint: bytes) -> None:
        """Clears a suspect that finished normally, on all entries."""
        if self.quarantine.clear_suspect(fingerprint):
            self._broadcast(Release((fingerprint,)))

    def release_request(self, fingerprint: bytes) -> bool:
        """Releases a request for an operator, on all entries.

        Returns:
          Whether the request was known to this entry.
        """
        known = self.quarantine.release_request(fingerprint)
        self._broadcast(Release((fingerprint,)))
        return known

    def _broadcast(self, message: Crash | Release) -> None:
        if self.peer_connections is not None:
            self.peer_connections.broadcast(message, "entry", "controller")

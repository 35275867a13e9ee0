"""Lists and releases quarantined requests; independent of HTTP."""

from typing import TypedDict

from shallotstand.controller.controller import Controller
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.messages import Release


class QuarantineRow(TypedDict):
    """A quarantined request; `left_s` is the seconds until it may run again."""

    fingerprint: str
    left_s: float


class ReleaseResponse(TypedDict):
    """A released request and the entries that were notified."""

    fingerprint: str
    entries: list[str]


def list_quarantine(controller: Controller) -> list[QuarantineRow]:
    """Returns the quarantined requests."""
    return [
        QuarantineRow(fingerprint=fingerprint.hex(), left_s=round(left_s, 1))
        for fingerprint, left_s in controller.quarantine.quarantined().items()
    ]


def release_request(
    controller: Controller, fingerprint: str
) -> ReleaseResponse | Failure:
    """Lets a quarantined request run again at all entries.

    Errors:
      BAD_REQUEST: The fingerprint is not hexadecimal.
      OBJECT_NOT_FOUND: The request is neither quarantined nor suspected.
    """
    try:
        fingerprint_bytes = bytes.fromhex(fingerprint)
    except ValueError:
        return Failure(
            ResultCode.BAD_REQUEST, "The fingerprint is not hexadecimal."
        )
    if not controller.quarantine.release_request(fingerprint_bytes):
        return Failure(
            ResultCode.OBJECT_NOT_FOUND, f"{fingerprint} is not quarantined."
        )
    controller.peer_connections.broadcast(
        Release((fingerprint_bytes,)), "entry", "controller"
    )
    entries = controller.peer_connections.peers("entry")
    return ReleaseResponse(
        fingerprint=fingerprint,
        entries=sorted(peer.hello.process_id for peer in entries),
    )

"""Checks heads of responses that the HTTP library accepts too easily."""

from aiohttp import hdrs
from aiohttp.http import RawResponseMessage

_MIN_STATUS = 100
_MAX_STATUS = 599
_SWITCHING_PROTOCOLS = 101
_MIN_FINAL_STATUS = 200
# Most characters of a field that an error quotes.
_MAX_QUOTED = 40
# Requests ask for no transfer coding, which still allows chunks; `identity`
# leaves the content as it is.
_TRANSFER_CODINGS = ("chunked", "identity")


def is_informational(head: RawResponseMessage) -> bool:
    """Returns whether another response follows to the same request."""
    return (
        _MIN_STATUS <= head.code < _MIN_FINAL_STATUS
        and head.code != _SWITCHING_PROTOCOLS
    )


def find_problem(head: RawResponseMessage) -> str | None:
    """Returns why a head is not part of a response; None if it may be.

    No client asks for another protocol, so a response that switches to one is
    none either.
    """
    if (
        not _MIN_STATUS <= head.code <= _MAX_STATUS
        or head.code == _SWITCHING_PROTOCOLS
    ):
        return f"status {head.code:03}"
    codings = head.headers.getall(hdrs.TRANSFER_ENCODING, ())
    coding = ",".join(codings).strip().lower()
    if codings and coding not in _TRANSFER_CODINGS:
        return f"transfer coding {coding[:_MAX_QUOTED]!r}"
    return None

"""Checks heads of responses that the HTTP library accepts too easily."""

import re

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
# The start of a line that begins with a blank, or the end of a head.
_LINE_START = re.compile(rb"\n(?:(?P<blank>[ \t])|\r?\n)")


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


class HeadLines:
    """Looks for lines of a head that begin with a blank.

    Servers must not send them (RFC 9112, section 5.2). The HTTP library joins
    such a line with the field above it, or takes it for a field of its own.

    Attributes:
      has_continuation: Whether there was such a line.
    """

    def __init__(self) -> None:
        self.has_continuation = False
        self._has_begun = False
        # What may matter of the bytes so far; all that is known to follow the
        # head once that has ended.
        self._text = b""
        self._end: int | None = None

    def feed(self, data: bytes) -> None:
        """Reads bytes, up to the end of the head."""
        if self._end is not None:
            return
        text = self._text + data
        if not self._has_begun:
            # A response may follow empty lines.
            text = text.lstrip(b"\r\n")
            self._has_begun = bool(text)
        match = _LINE_START.search(text)
        if match is None:
            # A line end may arrive in two parts.
            self._text = text[-2:]
        elif match["blank"]:
            self.has_continuation = True
        else:
            self._text, self._end = text, match.end()

    def next_head(self) -> "HeadLines":
        """Returns the lines of the head that follows in the bytes so far."""
        following = HeadLines()
        following.has_continuation = self.has_continuation
        following.feed(self._text[self._end :])
        return following

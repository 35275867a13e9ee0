"""Keeps one request from crashing endpoint after endpoint."""

import functools
from typing import Protocol

from shallotstand.core.failure import Failure
from shallotstand.dispatch.crash_record import CrashRecord
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.fingerprint import fingerprint


class CrashGuard(Protocol):
    """Decides whether a request may be sent, from what its copies did."""

    def refusal(self) -> Failure | None:
        """Returns why the request is not sent at all; None if it may be.

        Errors:
          ENDPOINTS_CRASH: Endpoints have ended each time that they ran it.
        """
        ...

    def may_send_again(self) -> bool:
        """Returns whether the request may be sent once more."""
        ...

    def record_cut(self, endpoint: Endpoint) -> None:
        """Records that the connection to an endpoint ended under it."""
        ...

    def record_response(self) -> None:
        """Records that an endpoint has answered it."""
        ...


class Unguarded:
    """Implements `CrashGuard` for requests that are owed and never refused."""

    def refusal(self) -> Failure | None:
        """Returns None."""
        return None

    def may_send_again(self) -> bool:
        """Returns True."""
        return True

    def record_cut(self, endpoint: Endpoint) -> None:
        """Does nothing."""

    def record_response(self) -> None:
        """Does nothing."""


UNGUARDED = Unguarded()


class CrashRecordGuard:
    """Implements `CrashGuard` for a caller's request."""

    def __init__(self, record: CrashRecord, endpoint_request: EndpointRequest):
        self._record = record
        self._endpoint_request = endpoint_request

    @functools.cached_property
    def _fingerprint(self) -> bytes:
        return fingerprint(self._endpoint_request)

    def refusal(self) -> Failure | None:
        """Returns the refusal by the record."""
        if self._record.is_empty:
            return None
        return self._record.refusal(self._fingerprint)

    def may_send_again(self) -> bool:
        """Returns whether the record allows a repetition."""
        return self._record.is_empty or self._record.may_send_again(
            self._fingerprint
        )

    def record_cut(self, endpoint: Endpoint) -> None:
        """Adds a crash to the record."""
        self._record.record_cut(self._fingerprint, endpoint)

    def record_response(self) -> None:
        """Clears the request."""
        if not self._record.is_empty:
            self._record.record_response(self._fingerprint)

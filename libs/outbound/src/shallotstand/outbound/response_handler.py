"""Receives responses of HTTP servers within bounds."""

import asyncio
import functools
from typing import Any

import aiohttp
from absl import logging
from aiohttp.client_proto import ResponseHandler
from shallotstand.core import logs
from shallotstand.core.connection_end import find_connection_error
from shallotstand.outbound.receive_budget import ReceiveBudget, Reservation
from shallotstand.outbound.response_heads import (
    HeadLines,
    find_problem,
    is_informational,
)

# Largest number of consecutive bytes of a response that are not in its body.
MAX_OVERHEAD_BYTES = 256 << 10


class ResponseTooLargeError(aiohttp.ClientError):
    """A response is larger than its receiver accepts."""


class InvalidResponseError(aiohttp.ClientError):
    """The bytes of a peer are not a response."""


class BoundedResponseHandler(ResponseHandler):
    """Receives one response for each request, within bounds.

    It closes a connection on which bytes arrive that belong to no request: the
    HTTP library would keep their responses until a request takes them. It
    gives up a response that goes on without delivering any of its body: the
    library itself bounds status lines and headers, but not informational
    responses, chunk extensions or trailers. What it holds outside bodies
    counts towards the budget of all responses.

    A body without a length is complete only if the peer has ended its side of
    the connection in order. The library also takes it for complete after a
    reset, and the event loop reports some resets as the end of the stream.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, budget: ReceiveBudget):
        super().__init__(loop)
        self._overhead_bytes = 0
        self._budget = budget
        self._reservation: Reservation | None = None
        # Whether the head of the response to the last request is still due.
        self._is_head_due = False
        self._head_lines = HeadLines()
        self._body: aiohttp.StreamReader | None = None
        self._has_unrequested_head = False
        self._has_peer_finished = False
        self._connection_error: OSError | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to count what the connection holds."""
        super().connection_made(transport)
        self._reservation = self._budget.reserve(
            lambda: str(transport.get_extra_info("peername")),
            lambda: self._give_up("too many bytes are held"),
        )

    def eof_received(self) -> None:
        """Learns that the peer sends nothing more."""
        super().eof_received()
        if self.transport is None:
            return
        self._connection_error = find_connection_error(self.transport)
        self._has_peer_finished = self._connection_error is None
        if self._is_body_due():
            # Otherwise the response would wait for the rest of its request to
            # be written, which the peer may never read.
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Returns what the connection held; an incomplete body fails."""
        if self._reservation is not None:
            self._reservation.resize(0)
            self._reservation = None
        if (
            self._is_body_due()
            and not self._has_peer_finished
            and self._body.exception() is None
        ):
            error = self._connection_error or exc
            self._body.set_exception(
                aiohttp.ClientPayloadError(
                    f"The connection ended within the body: {error!r}"
                )
            )
        super().connection_lost(exc)

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the response to a request that is about to be sent."""
        self._is_head_due = True
        self._head_lines = HeadLines()
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives a parsed response head."""
        head, body = data
        if is_informational(head):
            self._head_lines = self._head_lines.next_head()
            super().feed_data(data, size)
            return
        if not self._is_head_due:
            self._has_unrequested_head = True
            return
        self._is_head_due = False
        problem = (
            "a line begins with a blank"
            if self._head_lines.has_continuation
            else find_problem(head)
        )
        self._head_lines = HeadLines()
        if problem is not None:
            self._refuse(problem)
            return
        self._body = body
        self._overhead_bytes = 0
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Receives bytes from the connection.

        The HTTP library also calls this without bytes, to go on parsing.
        """
        if data and not self._is_receiving():
            self._close_after_unrequested(len(data))
            return
        self._receive(data)
        if self._has_unrequested_head:
            self._close_after_unrequested(len(data))

    def _is_receiving(self) -> bool:
        """Returns whether bytes are due that belong to a request."""
        return self._is_head_due or self._is_body_due()

    def _is_body_due(self) -> bool:
        """Returns whether a body is not complete yet."""
        return self._body is not None and not self._body.is_eof()

    def _close_after_unrequested(self, size: int) -> None:
        if self.transport is None:
            return
        logs.event(
            logging.INFO,
            "Connection closed after unrequested bytes",
            address=self.transport.get_extra_info("peername"),
            bytes=size,
        )
        self.transport.abort()

    def _receive(self, data: bytes) -> None:
        """Parses bytes that belong to a request."""
        if self._is_head_due:
            self._head_lines.feed(data)
        payload_before = self._payload
        body_bytes_before = payload_before.total_bytes if payload_before else 0
        super().data_received(data)
        payload = self._payload
        if payload is not None and (
            payload is not payload_before
            or payload.total_bytes > body_bytes_before
        ):
            self._overhead_bytes = 0
        else:
            self._overhead_bytes += len(data)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._give_up("no part of the body")
        elif self._reservation is not None:
            self._reservation.resize(self._overhead_bytes)

    def _refuse(self, problem: str) -> None:
        """Closes the connection; the request on it fails."""
        self.set_exception(InvalidResponseError(problem))
        if self.transport is not None:
            self.transport.abort()

    def _give_up(self, reason: str) -> None:
        """Closes the connection; the receiver of the response fails."""
        error = ResponseTooLargeError(
            f"{self._overhead_bytes} bytes outside the body: {reason}"
        )
        self.set_exception(error)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections whose responses a `BoundedResponseHandler` receives."""

    def __init__(self, budget: ReceiveBudget | None = None, **options: Any):
        """Creates a connector without connections.

        Args:
          budget: Bounds what its incomplete responses hold; a budget of its
            own if None.
          **options: Further arguments of aiohttp's connector.
        """
        super().__init__(**options)
        self._factory = functools.partial(
            BoundedResponseHandler,
            loop=self._loop,
            budget=budget or ReceiveBudget.from_memory_limit(0),
        )

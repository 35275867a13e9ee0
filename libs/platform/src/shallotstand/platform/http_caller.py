"""HTTP calls whose every outcome is a reply or a Failure."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.outbound.response_handler import BoundedConnector
from shallotstand.outbound.single_send import send_once

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
# One object of a watch is one line; 1 MB in base64 takes 1.34 MB.
_READ_BUFFER_BYTES = 2 * 1024 * 1024

TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


class Reply(NamedTuple):
    """A whole HTTP answer.

    Attributes:
      status: HTTP status.
      headers: Headers of the answer.
      body: Content.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpCaller:
    """Calls one HTTP service; connections are opened when needed."""

    def __init__(self, url: str):
        """Initializes the caller.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
        """
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Returns the session, made in the running event loop."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(),
                read_bufsize=_READ_BUFFER_BYTES,
                middlewares=(send_once,),
            )
        return self._session

    def url(self, path: str) -> str:
        """Returns the whole address of a path."""
        return self._url + path

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        **arguments: Any,
    ) -> Reply | Failure:
        """Sends a request and reads the whole answer.

        Args:
          method: HTTP method.
          path: Path, with special characters already quoted.
          timeout_s: Seconds for the whole call.
          **arguments: Further arguments of aiohttp's request.

        Errors:
          STORE_UNAVAILABLE: No whole answer; the call may have taken effect.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)
        )
        try:
            async with self.session().request(
                method,
                self.url(path),
                timeout=timeout,
                allow_redirects=False,
                **arguments,
            ) as response:
                body = await response.read()
                return Reply(response.status, response.headers, body)
        except TRANSPORT_ERRORS as error:
            return unavailable(type(error).__name__)

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


def unavailable(reason: str) -> Failure:
    """Returns the failure of a call that got no whole answer."""
    return Failure(ResultCode.STORE_UNAVAILABLE, reason)


def unexpected(reply: Reply) -> Failure:
    """Returns the failure of a status that the call does not know.

    A server error says nothing about the effect; any other status is a
    refusal.
    """
    reason = f"The platform answered {reply.status}."
    if reply.status >= 500:
        return unavailable(reason)
    return Failure(ResultCode.PLATFORM_REFUSED, reason)

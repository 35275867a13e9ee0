"""Keeps the HTTP library from repeating requests by itself.

Whether a request may run twice is for its sender to decide, who also counts
how often it was sent.
"""

import aiohttp


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection was lost after the request may have been read."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request at most once; a middleware for client sessions.

    aiohttp repeats a request with an idempotent method, such as PUT or DELETE,
    if it fails with one of the errors that are replaced here.

    Raises:
      ConnectionLostError: The connection was lost before the response's head.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # Nothing was sent.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error

"""Client of the rate-limited weight store."""

from urllib.parse import quote

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.http_caller import HttpCaller, unexpected

# Weights are large; a fetch that takes longer than the interval between two
# versions is of no use any more.
FETCH_TIMEOUT_S = 180.0


class HttpWeightStore:
    """Weights at an HTTP address."""

    def __init__(self, url: str):
        """Initializes the client.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
        """
        self._caller = HttpCaller(url)

    async def fetch(self, key: str) -> bytes | Failure:
        """Fetches the weights of a version."""
        reply = await self._caller.call(
            "GET", f"/weights/{quote(key, safe='/')}", timeout_s=FETCH_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status == 200:
            return reply.body
        if reply.status == 429:
            return Failure(ResultCode.RATE_LIMITED, "Too many fetches.")
        if reply.status == 404:
            return Failure(ResultCode.OBJECT_NOT_FOUND, key)
        return unexpected(reply)

    async def close(self) -> None:
        """Closes the connections."""
        await self._caller.close()

"""Client of the interface that takes usage reports."""

from urllib.parse import quote

from shallotstand.core.failure import Failure
from shallotstand.platform.http_caller import HttpCaller, unexpected


class HttpUsageSink:
    """Usage reports to an HTTP address."""

    def __init__(self, url: str):
        """Initializes the client.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
        """
        self._caller = HttpCaller(url)

    async def report(
        self, account: str, window: int, body: bytes
    ) -> Failure | None:
        """Sends the report of one client account and window."""
        reply = await self._caller.call(
            "PUT", f"/usage/{quote(account, safe='')}/{window}", data=body
        )
        if isinstance(reply, Failure):
            return reply
        return None if reply.status == 200 else unexpected(reply)

    async def close(self) -> None:
        """Closes the connections."""
        await self._caller.close()

"""Client of the platform's list of instances."""

import orjson
from shallotstand.core.failure import Failure
from shallotstand.platform.http_caller import (
    HttpCaller,
    unavailable,
    unexpected,
)
from shallotstand.platform.protocols import Instance


class HttpInstanceList:
    """The list of instances at an HTTP address."""

    def __init__(self, url: str):
        """Initializes the client.

        Args:
          url: Address such as `http://127.0.0.1:9000`.
        """
        self._caller = HttpCaller(url)

    async def instances(self) -> list[Instance] | Failure:
        """Returns the list."""
        reply = await self._caller.call("GET", "/instances")
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return unexpected(reply)
        try:
            return [Instance(**fields) for fields in orjson.loads(reply.body)]
        except (ValueError, TypeError) as error:
            return unavailable(f"Not a list of instances: {error}")

    async def close(self) -> None:
        """Closes the connections."""
        await self._caller.close()

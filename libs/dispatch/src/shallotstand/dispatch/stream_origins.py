"""Where streams begin, so that they go on at the same software version."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route
from shallotstand.dispatch.endpoint import Endpoint


class StreamOrigin(NamedTuple):
    """The service and the software version that begin a stream."""

    service: str
    software_version: str

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint) -> "StreamOrigin":
        """Returns the origin of the streams that an endpoint begins."""
        return cls(endpoint.service, endpoint.software_version)


class StreamOrigins(Protocol):
    """Chooses and remembers the origins of streams, for all processes."""

    async def begin(
        self, stream_id: str, route: Route, candidates: Sequence[Endpoint]
    ) -> StreamOrigin | Failure:
        """Chooses where a stream begins.

        It is known to all processes when this returns, even if all of them end.

        Args:
          stream_id: Identifier of the caller's attempt that begins the stream.
          route: Its route.
          candidates: Endpoints that can begin it, the best first; not empty.

        Returns:
          The origin of one of the candidates.

        Errors:
          STREAM_ORIGIN_UNKNOWN: The origin can't be made known now.
        """
        ...

    async def find(
        self, stream_id: str, route: Route
    ) -> StreamOrigin | Failure:
        """Returns where a stream began.

        Args:
          stream_id: Identifier of the caller's attempt that began the stream;
            empty if the caller names none.
          route: Its route.

        Errors:
          STREAM_ORIGIN_UNKNOWN: The origin is not known.
        """
        ...

"""The open connections to an endpoint that no request uses."""

import itertools

# Connections that are idle for longer are taken to be closed by their endpoint.
IDLE_TIMEOUT_S = 4.0


class IdleConnections:
    """Estimates how many open connections to an endpoint have no request.

    Requests that end well leave theirs open for the next one. Endpoints close
    idle connections after a while.
    """

    def __init__(self) -> None:
        self._idle_since: list[float] = []

    def leave(self, now: float) -> None:
        """Adds the connection of a request that has ended well."""
        self._idle_since.append(now)

    def take(self) -> None:
        """Takes a connection for a request."""
        if self._idle_since:
            self._idle_since.pop()

    def has_any(self, now: float) -> bool:
        """Returns whether a connection is likely to be open and idle."""
        since = now - IDLE_TIMEOUT_S
        self._idle_since = list(
            itertools.dropwhile(lambda idle: idle < since, self._idle_since)
        )
        return bool(self._idle_since)

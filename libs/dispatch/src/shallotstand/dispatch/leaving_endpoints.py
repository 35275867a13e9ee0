"""Endpoints that say in their responses that they leave.

The platform's list may say so later, or never. The statement belongs to one
start of an endpoint and holds until that start is gone, even if its entry is
removed and comes back.
"""

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.dispatch.endpoint import Endpoint

# An endpoint that leaves goes on serving for two seconds. Where no other one is
# left, it may still get requests for this long.
LAST_RESORT_S = 1.0
# An endpoint that still says in its list entry that it is ready this long after
# its statement is asked whether it leaves; most are gone by then.
ASK_AGAIN_S = 10.0
# Statements are forgotten after this time.
MEMORY_S = 3600.0


class _Statement:
    def __init__(self, now: float):
        self.made_at = now
        self.asked_at = now


class LeavingEndpoints:
    """The starts of endpoints that have said that they leave."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._by_start: dict[tuple[str, int], _Statement] = {}

    def record(self, endpoint: Endpoint, source: str) -> None:
        """Records that an endpoint has said that it leaves.

        Args:
          endpoint: The endpoint, with the start that its entry names.
          source: Kind of the response that said so, for the log.
        """
        if self.has_said(endpoint):
            return
        now = self._clock.monotonic()
        self._by_start = {
            start: statement
            for start, statement in self._by_start.items()
            if now - statement.made_at < MEMORY_S
        }
        self._by_start[_start(endpoint)] = _Statement(now)
        logs.event(
            logging.INFO,
            "Endpoint says that it leaves",
            endpoint=endpoint.id,
            service=endpoint.service,
            started_ms=endpoint.started_ms,
            listed_as_leaving=endpoint.is_leaving,
            source=source,
        )

    def retract(self, endpoint: Endpoint) -> None:
        """Records that an endpoint says that it does not leave after all."""
        statement = self._by_start.pop(_start(endpoint), None)
        if statement is not None:
            logs.event(
                logging.WARNING,
                "Endpoint does not leave after all",
                endpoint=endpoint.id,
                started_ms=endpoint.started_ms,
                age_s=round(self._clock.monotonic() - statement.made_at, 3),
            )

    def has_said(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint has said that it leaves."""
        return bool(self._by_start) and _start(endpoint) in self._by_start

    def is_last_resort(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint may get requests if no other is left."""
        statement = self._by_start[_start(endpoint)]
        return self._clock.monotonic() - statement.made_at < LAST_RESORT_S

    def should_ask(self, endpoint: Endpoint) -> bool:
        """Returns whether to ask an endpoint now whether it leaves.

        It is asked again only after a while.
        """
        statement = self._by_start.get(_start(endpoint))
        now = self._clock.monotonic()
        if statement is None or now - statement.asked_at < ASK_AGAIN_S:
            return False
        statement.asked_at = now
        return True


def _start(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.id, endpoint.started_ms

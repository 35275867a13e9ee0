"""Clients that read streams and take them up again when they break off."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import NamedTuple

import aiohttp
from shallotstand.standins.fleet import HOST, Fleet, Machine
from shallotstand.standins.fleet_engine import FleetEngine

SOFTWARE_VERSIONS = ("old", "new")
ENGINES_PER_VERSION = 2
EVENTS = 20
# How often a client takes a stream up again, and its pause before that.
MAX_TAKE_UPS = 5
TAKE_UP_DELAY_S = 0.3
DEADLINE_S = 12.0


class StreamEnd(NamedTuple):
    """The end of one attempt; status 0 if there was no response."""

    status: int
    seconds: float


class StreamClient:
    """Reads one stream, at any gateway.

    Attributes:
      events: Data of the events of all attempts.
      ends: How the attempts ended.
    """

    def __init__(self, fleet: Fleet, name: str, rng: random.Random):
        self._fleet = fleet
        self._name = name
        self._rng = rng
        self._numbers = itertools.count()
        self._first_attempt_id = ""
        self.events: list[str] = []
        self.ends: list[StreamEnd] = []

    @property
    def software_versions(self) -> set[str]:
        """Software versions whose events the stream holds."""
        return {event.rpartition(" ")[2] for event in self.events}

    @property
    def is_whole(self) -> bool:
        """Whether the last event has arrived."""
        return len(self.events) == EVENTS

    async def read(self, max_take_ups: int = MAX_TAKE_UPS) -> None:
        """Reads the stream until it is whole, and takes it up if needed.

        Attempts without a response don't count while gateways are down.
        """
        deadline = time.monotonic() + DEADLINE_S
        response_count = 0
        while response_count <= max_take_ups and time.monotonic() < deadline:
            await self.attempt(self._first_attempt_id)
            if self.is_whole:
                return
            response_count += self.ends[-1].status != 0
            await asyncio.sleep(TAKE_UP_DELAY_S)

    @property
    def first_attempt_id(self) -> str:
        """The attempt that brought the first event; empty if none did."""
        return self._first_attempt_id

    async def attempt(
        self,
        resumed_id: str,
        gateway: Machine | None = None,
        max_events: int = EVENTS,
    ) -> None:
        """Sends one request.

        Args:
          resumed_id: Attempt that brought the first event; empty if none.
          gateway: Gateway that gets it; None for any.
          max_events: Number of events of the stream after which the client
            closes the connection.
        """
        attempt_id = f"{self._name}-{next(self._numbers)}"
        headers = {
            "Host": HOST,
            "Authorization": "Token key-1",
            "Connection": "close",
            "X-Shallotstand-Attempt-Id": attempt_id,
            "X-Shallotstand-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if self.events:
            headers["Last-Event-Id"] = str(len(self.events))
        if resumed_id:
            headers["Resumes"] = resumed_id
        gateway = gateway or self._rng.choice(self._fleet.gateways)
        started = time.monotonic()
        status = 0
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(DEADLINE_S),
                self._fleet.session.post(
                    f"http://{gateway.front_address}/events/{self._name}",
                    data=self._name,
                    headers=headers,
                ) as response,
            ):
                status = response.status
                if status == 200:
                    await self._read_events(response, attempt_id, max_events)
        self.ends.append(StreamEnd(status, time.monotonic() - started))

    async def _read_events(
        self,
        response: aiohttp.ClientResponse,
        attempt_id: str,
        max_events: int,
    ) -> None:
        async for line in response.content:
            if line.startswith(b"data: "):
                if not self.events:
                    self._first_attempt_id = attempt_id
                self.events.append(line[6:].decode().strip())
                if max_events <= len(self.events) < EVENTS:
                    response.close()
                    return


def make_writers() -> tuple[FleetEngine, ...]:
    """Returns engines of two software versions that serve streams."""
    return tuple(
        FleetEngine(
            f"writer-{version}-{number}",
            event_count=EVENTS,
            service="writers",
            software_version=version,
        )
        for version in SOFTWARE_VERSIONS
        for number in range(ENGINES_PER_VERSION)
    )

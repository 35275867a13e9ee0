"""Callers, a trainer and an operator, and what each of them was told."""

import asyncio
import itertools
import random
from typing import NamedTuple

import aiohttp
import orjson
from shallotstand.standins.fleet import (
    Fleet,
    Machine,
    batch,
    results_path,
)

_BROKEN = (aiohttp.ClientError, OSError, TimeoutError)
CALL_TIMEOUT_S = 6.0
ITEMS = 6
# A position that was read has to be readable everywhere after this; the bound
# of the users' platform.
SETTLE_S = 1.0


class Told(NamedTuple):
    """The answer to one call; status 0 if there was none."""

    request_id: str
    is_once: bool
    status: int
    body: bytes


class Load:
    """Makes calls and notes every answer.

    Attributes:
      told: Answers to plain calls.
      accepted: Batches that were accepted.
      refused: Batches whose submission was refused each time.
      results_by_batch: Results by position, as first read.
      conflicts: Positions that were read with two contents, or not again.
    """

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self.told: list[Told] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.results_by_batch: dict[str, dict[int, dict]] = {}
        self.conflicts: list[str] = []

    async def call_plain(self, until: float) -> None:
        """Makes plain calls, some of which may run only once."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            is_once = self._rng.random() < 0.5
            request_id = f"r{next(self._numbers)}"
            path = "/once/a" if is_once else "/plain/a"
            status, body = await self._call(
                "POST", path, request_id, request_id.encode()
            )
            self.told.append(Told(request_id, is_once, status, body))
            await asyncio.sleep(self._rng.uniform(0.01, 0.08))

    async def train(self, until: float) -> None:
        """Submits batches and reads them, each at any gateway."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            name = f"b{next(self._numbers)}"
            if await self._submit(name):
                await self.read_on(name, min(until, loop.time() + 5.0))

    async def _submit(self, name: str) -> bool:
        body = orjson.dumps(batch(ITEMS, name=name))
        statuses = []
        for _ in range(3):
            status, _ = await self._call("POST", "/rollouts/1", name, body)
            statuses.append(status)
            if status == 202:
                self.accepted.add(name)
                return True
            await asyncio.sleep(0.3)
        if set(statuses) <= {429, 503}:
            self.refused.add(name)
        return False

    async def read_on(self, name: str, until: float) -> None:
        """Reads a batch until it is whole or the time is over."""
        loop = asyncio.get_running_loop()
        known = self.results_by_batch.setdefault(name, {})
        read_at: dict[int, float] = {}
        while len(known) < ITEMS and loop.time() < until:
            after = self._rng.choice((0, len(known), len(known)))
            asked_at = loop.time()
            status, body = await self._call(
                "GET", results_path(name, after), name
            )
            if status == 404:
                self.conflicts.append(f"{name}: 404 after it was accepted")
            if status != 200:
                await asyncio.sleep(0.2)
                continue
            results = orjson.loads(body)["results"]
            if not results and asked_at - read_at.get(after, until) > SETTLE_S:
                self.conflicts.append(f"{name}: nothing at {after} any more")
            for position, result in enumerate(results, after):
                read_at.setdefault(position, loop.time())
                if known.setdefault(position, result) != result:
                    self.conflicts.append(f"{name}: position {position}")

    async def _call(
        self, method: str, path: str, request_id: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        gateway: Machine = self._rng.choice(self._fleet.gateways)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._fleet.call(
                    gateway, method, path, request_id, body
                )
        except _BROKEN:
            return 0, b""

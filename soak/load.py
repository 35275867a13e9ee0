"""The load of a soak run, with the responses that the clients received."""

import asyncio
import itertools
import random
import time
from typing import NamedTuple

import aiohttp
import orjson
from shallotstand.standins.fleet import (
    Fleet,
    Machine,
    batch_submission,
    results_path,
)
from shallotstand.standins.fleet_engine import LEAVING_HEADER, START_HEADER

from soak.leaving import PassedAnswer
from soak.streams import StreamClient

_NO_ANSWER_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
CALL_TIMEOUT_S = 6.0
ITEMS_PER_BATCH = 6
# A result that was read at one gateway must be readable at every gateway after
# this time, which is a requirement of the platform.
VISIBILITY_BOUND_S = 1.0


class CallResult(NamedTuple):
    """The response to one call; status 0 if there was none."""

    request_id: str
    is_at_most_once: bool
    status: int
    body: bytes


class LoadGenerator:
    """Sends calls to random gateways and records the responses.

    Attributes:
      call_results: Responses to plain calls.
      accepted_batches: Identifiers of the batches that were accepted.
      refused_batches: Identifiers of the batches whose submission was
        refused at every attempt.
      results_by_batch: Results by batch and position, as first read.
      conflicts: Descriptions of reads that contradict an earlier response: a
        position with different content, or that is no longer readable.
      streams: The streams that were read.
      passed_answers: Answers to plain calls, as the gateways passed them on.
    """

    def __init__(self, fleet: Fleet, seed: int):
        self._fleet = fleet
        self._rng = random.Random(seed)
        # Streams leave the other choices of a seed as they were without them.
        self._stream_rng = random.Random(f"streams {seed}")
        self._id_counter = itertools.count()
        self.call_results: list[CallResult] = []
        self.accepted_batches: set[str] = set()
        self.refused_batches: set[str] = set()
        self.results_by_batch: dict[str, dict[int, dict]] = {}
        self.conflicts: list[str] = []
        self.streams: list[StreamClient] = []
        self.passed_answers: list[PassedAnswer] = []

    async def send_plain_calls(self, deadline: float) -> None:
        """Sends plain calls, about half of which may run at most once."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            is_at_most_once = self._rng.random() < 0.5
            request_id = f"r{next(self._id_counter)}"
            path = "/once/a" if is_at_most_once else "/plain/a"
            status, body = await self._send_plain_call(path, request_id)
            self.call_results.append(
                CallResult(request_id, is_at_most_once, status, body)
            )
            await asyncio.sleep(self._rng.uniform(0.01, 0.08))

    async def _send_plain_call(
        self, path: str, request_id: str
    ) -> tuple[int, bytes]:
        gateway: Machine = self._rng.choice(self._fleet.gateways)
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._fleet.exchange(
                    gateway, "POST", path, request_id, request_id.encode()
                )
        except _NO_ANSWER_ERRORS:
            return 0, b""
        self.passed_answers.append(
            PassedAnswer(
                request_id,
                gateway.node,
                answer.headers.get(START_HEADER, ""),
                answer.headers.get(LEAVING_HEADER) == "1",
                sent_at,
                answer.answered_at,
                answer.status,
            )
        )
        return answer.status, answer.body

    async def read_streams(self, deadline: float) -> None:
        """Reads streams, one after another; each may be taken up again."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            client = StreamClient(
                self._fleet, f"s{next(self._id_counter)}", self._stream_rng
            )
            self.streams.append(client)
            await client.read()

    async def submit_batches(self, deadline: float) -> None:
        """Submits batches and reads their results, each call at any gateway."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            batch_id = f"b{next(self._id_counter)}"
            if await self._submit_batch(batch_id):
                await self.read_results(
                    batch_id, min(deadline, loop.time() + 5.0)
                )

    async def _submit_batch(self, batch_id: str) -> bool:
        body = orjson.dumps(
            batch_submission(ITEMS_PER_BATCH, id_prefix=batch_id)
        )
        statuses = []
        for _ in range(3):
            status, _ = await self._call_any_gateway(
                "POST", "/rollouts/1", batch_id, body
            )
            statuses.append(status)
            if status == 202:
                self.accepted_batches.add(batch_id)
                return True
            await asyncio.sleep(0.3)
        if set(statuses) <= {429, 503}:
            self.refused_batches.add(batch_id)
        return False

    async def read_results(self, batch_id: str, deadline: float) -> None:
        """Reads the results of a batch until all are known or time is up."""
        loop = asyncio.get_running_loop()
        results_by_position = self.results_by_batch.setdefault(batch_id, {})
        first_read_at: dict[int, float] = {}
        while (
            len(results_by_position) < ITEMS_PER_BATCH
            and loop.time() < deadline
        ):
            after = self._rng.choice(
                (0, len(results_by_position), len(results_by_position))
            )
            sent_at = loop.time()
            status, body = await self._call_any_gateway(
                "GET", results_path(batch_id, after), batch_id
            )
            if status == 404:
                self.conflicts.append(
                    f"{batch_id}: status 404 after it was accepted"
                )
            if status != 200:
                await asyncio.sleep(0.2)
                continue
            results = orjson.loads(body)["results"]
            if (
                not results
                and sent_at - first_read_at.get(after, deadline)
                > VISIBILITY_BOUND_S
            ):
                self.conflicts.append(
                    f"{batch_id}: position {after} is no longer readable"
                )
            for position, result in enumerate(results, after):
                first_read_at.setdefault(position, loop.time())
                if results_by_position.setdefault(position, result) != result:
                    self.conflicts.append(
                        f"{batch_id}: position {position} changed"
                    )

    async def _call_any_gateway(
        self, method: str, path: str, request_id: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        gateway: Machine = self._rng.choice(self._fleet.gateways)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._fleet.call(
                    gateway, method, path, request_id, body
                )
        except _NO_ANSWER_ERRORS:
            return 0, b""

"""Requests about batches, sent to the peers that run them."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.link.gateway_messages import BatchAnswer, BatchAsk
from shallotstand.link.link import Link
from shallotstand.peers.content import compress_json, decompress_json
from shallotstand.peers.mesh import PeerMesh

# Time allowed for the network and the peer's event loop, in addition to the
# wait that was requested. If no answer arrives within this time, the batch is
# read from the store instead.
ROUND_TRIP_ALLOWANCE_S = 0.4

# Takes a batch's identifier and a request; returns the answer or a Failure.
BatchRequestHandler = Callable[[str, Any], Awaitable[Any]]


class PeerBatchRequests:
    """Sends requests about batches to peers and answers their requests.

    Implements the protocol `BatchPeers` of `shallotstand.batches`.
    """

    def __init__(self, mesh: PeerMesh, handle_request: BatchRequestHandler):
        """Registers the handlers of batch messages with the mesh.

        Args:
          mesh: Connections to the peers.
          handle_request: Answers the requests that peers send to this process.
        """
        self._mesh = mesh
        self._handle_request = handle_request
        self._request_numbers = itertools.count(1)
        self._pending_answers: dict[int, asyncio.Future[BatchAnswer]] = {}
        self._answer_tasks: set[asyncio.Task] = set()
        mesh.register_handler(BatchAsk, self._receive_request)
        mesh.register_handler(BatchAnswer, self._receive_answer)

    async def request_from_runner(
        self, batch_id: str, request: Any, wait_s: float
    ) -> Any | Failure:
        """Sends a request to the process that runs a batch.

        Args:
          batch_id: Identifier of the batch.
          request: The request, as a JSON value.
          wait_s: Seconds for which the peer may wait before it answers.

        Errors:
          LINK_LOST: No connected peer can answer for the batch, or the peer
            does not answer in time.
          Any other code: The peer returned a failure with this code.
        """
        return await self._send_request(
            self._mesh.link_to_runner(batch_id), batch_id, request, wait_s
        )

    async def request_from_process(
        self, process_id: str, batch_id: str, request: Any
    ) -> Any | Failure:
        """Sends a request to a process.

        Errors:
          LINK_LOST: The process is not connected or does not answer.
          Any other code: The process returned a failure with this code.
        """
        return await self._send_request(
            self._mesh.link_to_process(process_id), batch_id, request, 0.0
        )

    async def _send_request(
        self, link: Link | None, batch_id: str, request: Any, wait_s: float
    ) -> Any | Failure:
        if link is None:
            return Failure(
                ResultCode.LINK_LOST,
                "No connected peer can answer for the batch.",
            )
        number = next(self._request_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_answers[number] = future
        link.send(BatchAsk(number, batch_id, compress_json(request)))
        try:
            async with asyncio.timeout(wait_s + ROUND_TRIP_ALLOWANCE_S):
                answer = await future
        except TimeoutError:
            return Failure(
                ResultCode.LINK_LOST, "The peer did not answer in time."
            )
        finally:
            del self._pending_answers[number]
        if answer.code:
            return Failure(
                ResultCode(answer.code), "The peer answered with a failure."
            )
        return decompress_json(answer.content)

    def _receive_answer(self, answer: BatchAnswer, link: Link) -> None:
        del link
        future = self._pending_answers.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def _receive_request(self, request: BatchAsk, link: Link) -> None:
        task = asyncio.create_task(self._answer_request(request, link))
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    async def _answer_request(self, request: BatchAsk, link: Link) -> None:
        result = await self._handle_request(
            request.batch, decompress_json(request.content)
        )
        if isinstance(result, Failure):
            link.send(BatchAnswer(request.number, int(result.code), b""))
        else:
            link.send(BatchAnswer(request.number, 0, compress_json(result)))

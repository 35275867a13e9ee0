"""Reads of batches at the process that runs them."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Change, Document
from shallotstand.link.gateway_messages import BatchAnswer, BatchAsk
from shallotstand.link.link import Link
from shallotstand.peers.mesh import PeerMesh
from shallotstand.peers.stored_objects import to_change, to_message

# Time for the way and for the other process's event loop; then the store is
# asked instead.
ANSWER_RESERVE_S = 0.4

# Takes a batch's identifier, whether its submission is known, the entries
# known and the seconds to wait; returns the entries that are lacking.
Source = Callable[
    [str, bool, int, float], Awaitable[tuple[Document, ...] | Failure]
]


class PeerBatchReads:
    """Asks peers for the batches that they run, and answers them."""

    def __init__(self, mesh: PeerMesh, kind: str, source: Source):
        """Makes the reads of a process.

        Args:
          mesh: Connections to the peers.
          kind: Kind that entries are decoded as.
          source: What this process answers from.
        """
        self._mesh = mesh
        self._kind = kind
        self._source = source
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[BatchAnswer]] = {}
        self._answering: set[asyncio.Task] = set()
        mesh.handle(BatchAsk, self._take_ask)
        mesh.handle(BatchAnswer, self._take_answer)

    async def fetch(
        self, batch_id: str, knows_submission: bool, entries: int, wait_s: float
    ) -> tuple[Document, ...] | Failure:
        """Asks the peer that runs a batch; errors as for its protocol."""
        link = self._mesh.link_to_runner(batch_id)
        if link is None:
            return Failure(ResultCode.LINK_LOST, "No peer runs the batch.")
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._waiting[number] = answer
        link.send(
            BatchAsk(
                number, batch_id, knows_submission, entries, int(wait_s * 1000)
            )
        )
        try:
            async with asyncio.timeout(wait_s + ANSWER_RESERVE_S):
                told = await answer
        except TimeoutError:
            return Failure(ResultCode.LINK_LOST, "The peer did not answer.")
        finally:
            del self._waiting[number]
        if not told.is_sure:
            return Failure(ResultCode.STORE_UNAVAILABLE, "The peer can't tell.")
        return tuple(
            to_change(self._kind, item).document for item in told.entries
        )

    def _take_answer(self, answer: BatchAnswer, link: Link) -> None:
        del link
        waiting = self._waiting.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _take_ask(self, ask: BatchAsk, link: Link) -> None:
        task = asyncio.create_task(self._answer(ask, link))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer(self, ask: BatchAsk, link: Link) -> None:
        found = await self._source(
            ask.batch, ask.knows_submission, ask.entries, ask.wait_ms / 1000
        )
        is_sure = not isinstance(found, Failure)
        documents = found if is_sure else ()
        link.send(
            BatchAnswer(
                ask.number,
                is_sure,
                tuple(
                    to_message(Change(document, False))
                    for document in documents
                ),
            )
        )

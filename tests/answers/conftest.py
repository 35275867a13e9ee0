"""Calls of the readers against a server that answers early."""

import asyncio

import uvloop
from shallotstand.standins.early_http import EarlyServer, Ending

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
TEST_TIMEOUT_S = 10.0


def call_reader(
    reader, answer, ending=Ending.KEEP, loop="uvloop", pause_s=0.02
):
    """Returns the outcome of a reader's call that gets an answer."""

    async def scenario():
        async with EarlyServer(answer, ending, pause_s) as server:
            outcome = await reader.call(server.address)
            assert server.request_count
            return outcome

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        return runner.run(asyncio.wait_for(scenario(), TEST_TIMEOUT_S))

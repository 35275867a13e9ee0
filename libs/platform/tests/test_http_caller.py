"""Calls whose answer is lost."""

import asyncio

import pytest
from shallotstand.core.codes import ResultCode
from shallotstand.platform.http_caller import HttpCaller
from shallotstand.standins.scripted_http import Reply, ScriptedServer


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
@pytest.mark.parametrize(
    "reply", [Reply((0.01,), reset=True), Reply((0.01,), close=True)]
)
def test_lost_answer_repeats_no_call(method, reply):
    # Guards against a conditional write that took effect and, repeated by the
    # HTTP library, is reported as a conflict.
    async def scenario():
        server = ScriptedServer(lambda _: reply)
        caller = HttpCaller(f"http://{await server.start()}")
        try:
            outcome = await caller.call(method, "/a", timeout_s=2.0)
            await asyncio.sleep(0.05)
            return outcome, len(server.received)
        finally:
            await caller.close()
            await server.stop()

    outcome, sent_count = asyncio.run(scenario())
    assert sent_count == 1
    assert outcome.code == ResultCode.STORE_UNAVAILABLE

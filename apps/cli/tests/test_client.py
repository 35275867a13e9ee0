"""Calls of the administration API whose answer is lost."""

import asyncio
import threading

import pytest
from shallotstand.cli.client import Server, call
from shallotstand.core.codes import ResultCode
from shallotstand.standins.scripted_http import Reply, ScriptedServer


@pytest.mark.parametrize("method", ["PUT", "DELETE", "POST"])
def test_lost_answer_repeats_no_act(tmp_path, method):
    # Guards against an act that is carried out twice, or whose repetition is
    # refused although the first one took effect.
    key_file = tmp_path / "key"
    key_file.write_text("key")
    server = ScriptedServer(lambda _: Reply((0.01,), reset=True))
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        address = asyncio.run_coroutine_threadsafe(server.start(), loop).result(
            5
        )
        outcome = call(
            Server(f"http://{address}", str(key_file)), method, "keys", {}
        )
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
    assert len(server.received) == 1
    assert outcome.code == ResultCode.ADMIN_UNREACHABLE

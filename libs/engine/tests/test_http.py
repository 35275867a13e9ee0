"""A request on a connection that the endpoint drops after it read it."""

import asyncio

import pytest
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.engine.http import HttpEngine
from shallotstand.engine.protocols import EngineRequest

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class DroppingServer:
    """Answers the first request, then reads each and drops the connection."""

    def __init__(self):
        self.read = 0

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: 1\r\n" in head:
                    await reader.readexactly(1)
                self.read += 1
                if self.read > 1:
                    return
                writer.write(_ANSWER)
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


@pytest.mark.parametrize("body", [b"", b"x"])
def test_dropped_connection_repeats_no_request(body):
    async def check():
        server = DroppingServer()
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        engine = HttpEngine(f"http://127.0.0.1:{port}")
        request = EngineRequest("/", body, "r", 0, 5.0)
        async with engine.open(request) as answer:
            assert [part async for part in answer.chunks()] == [b"ok"]
        async with engine.open(request) as answer:
            assert isinstance(answer, Failure)
            assert answer.code == ResultCode.ANSWER_CUT
        assert server.read == 2
        await engine.close()
        listener.close()

    asyncio.run(check())

"""A process finds out whether an endpoint still listens."""

import asyncio

from shallotstand.standins.memory_engines import make_endpoint
from shallotstand.standins.scripted_http import Reply, ScriptedServer

from .conftest import make_client


def test_check_tells_whether_anything_listens():
    # Guards against an endpoint that ended and is taken for one that lives on,
    # and the reverse.
    refused = []

    class Recorder:
        def record_refused_connection(self, endpoint_id):
            refused.append(endpoint_id)

    async def scenario():
        server = ScriptedServer(lambda _: Reply(()))
        engine = make_endpoint("e1", address=await server.start())
        client = make_client(Recorder())
        await client.check_listening(engine)
        assert refused == []
        await server.stop()
        await client.check_listening(engine)
        assert refused == ["e1"]
        await client.close()

    asyncio.run(scenario())

"""Tests of the store client against the stand-in's HTTP front."""

import asyncio
import random
import socket

from sanic import Sanic
from shallotstand.core.codes import ResultCode
from shallotstand.platform.http_store import HttpObjectStore
from shallotstand.platform.protocols import MAX_VALUE_BYTES, StoredObject
from shallotstand.standins.object_store import StandinObjectStore, StoreFaults
from shallotstand.standins.store_http import add_store_routes


def run_with_store(check) -> None:
    """Serves a stand-in store on a free port and runs the check."""

    async def run() -> None:
        held = StandinObjectStore()
        sock = socket.create_server(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        app = Sanic(f"store{port}", configure_logging=False)
        app.config.TOUCHUP = False
        add_store_routes(app, held)
        server = await app.create_server(sock=sock, return_asyncio_server=True)
        await server.startup()
        client = HttpObjectStore(
            f"http://127.0.0.1:{port}", rng=random.Random(1)
        )
        async with asyncio.timeout(20):
            await check(client, held)
        await client.close()
        await server.close()

    asyncio.run(run())


def test_versions_guard_each_write():
    # Guards against a client that drops a condition or misreads its result.
    async def check(client, held):
        version = await client.put("a/b c%2F", b"\x00one", 0)
        stored = StoredObject("a/b c%2F", version, b"\x00one")
        assert await client.get("a/b c%2F") == stored
        assert await client.list("a/") == [stored]
        for expected in (0, version + 1):
            refused = await client.put("a/b c%2F", b"two", expected)
            assert refused.code == ResultCode.VERSION_CONFLICT
        refused = await client.delete("a/b c%2F", version + 1)
        assert refused.code == ResultCode.VERSION_CONFLICT
        assert await client.delete("a/b c%2F", version) is None
        missing = await client.get("a/b c%2F")
        assert missing.code == ResultCode.OBJECT_NOT_FOUND

    run_with_store(check)


def test_outage_and_large_values_are_failures():
    # Guards against library exceptions that reach the caller.
    async def check(client, held):
        large = await client.put("k", b"x" * (MAX_VALUE_BYTES + 1), 0)
        assert large.code == ResultCode.VALUE_TOO_LARGE
        assert isinstance(await client.put("k", b"x" * MAX_VALUE_BYTES, 0), int)
        await held.set_faults(StoreFaults(down=True))
        for call in (
            client.get("k"),
            client.put("k", b"", 1),
            client.delete("k", 1),
            client.list("k"),
        ):
            assert (await call).code == ResultCode.STORE_UNAVAILABLE

    run_with_store(check)


def test_watch_resumes_and_tells_of_objects_deleted_meanwhile():
    # Guards against a deletion that is missed while the watch is cut.
    async def check(client, held):
        await held.put("w/kept", b"x" * MAX_VALUE_BYTES, 0)
        gone = await held.put("w/gone", b"2", 0)
        changes = client.watch("w/")
        seen = [(await anext(changes)).key for _ in range(2)]
        assert seen == ["w/gone", "w/kept"]
        await held.put("w/new", b"3", 0)
        assert (await anext(changes)).value == b"3"
        await held.set_faults(StoreFaults(down=True))
        cut = await anext(changes)
        assert cut.code == ResultCode.STORE_UNAVAILABLE
        await held.set_faults(StoreFaults())
        await held.delete("w/gone", gone)
        again = []
        while len(again) < 3:
            change = await anext(changes)
            if isinstance(change, StoredObject):
                again.append((change.key, bool(change.version)))
        assert again == [("w/kept", True), ("w/new", True), ("w/gone", False)]

    run_with_store(check)


def test_unreachable_store_is_a_failure():
    # Guards against a watch that raises when nothing listens.
    async def check():
        client = HttpObjectStore("http://127.0.0.1:9")
        assert (await client.get("k")).code == ResultCode.STORE_UNAVAILABLE
        first = await anext(client.watch(""))
        assert first.code == ResultCode.STORE_UNAVAILABLE
        await client.close()

    asyncio.run(check())

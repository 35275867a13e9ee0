"""Responses of the platform's store that are not what was asked for."""

import asyncio

import pytest
from shallotstand.adapter.boot import TcpAddress
from shallotstand.adapter.store import PlatformStore
from shallotstand.core.failure import Failure
from shallotstand.standins.scripted_http import (
    Reply,
    ScriptedServer,
    encode_response,
)


def call_store(body, call):
    async def scenario():
        server = ScriptedServer(
            lambda _: Reply((encode_response("200 OK", body),))
        )
        host, _, port = (await server.start()).rpartition(":")
        store = PlatformStore(TcpAddress(host, int(port)))
        try:
            return await call(store)
        finally:
            await store.close()
            await server.stop()

    return asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize(
    "body",
    [
        b"not JSON",
        b"[]",
        b"7",
        b"null",
        b"{}",
        b'{"items":[{}],"as_of":1,"events":[{}]}',
        b'{"items":[7],"as_of":1,"events":[7]}',
        b'{"items":{},"as_of":"x","events":[],"metadata":{"name":"a"}}',
    ],
)
@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.list("kind"),
        lambda store: store.get("kind", "name"),
        lambda store: store.create("kind", "name", {}),
        lambda store: store.replace("kind", "name", {}, 1),
        lambda store: store.watch("kind", 1, 0.1),
    ],
    ids=["list", "get", "create", "replace", "watch"],
)
def test_malformed_response_is_a_failure(call, body):
    # Guards against an exception that ends the task that calls the store, and
    # with it the process.
    assert isinstance(call_store(body, call), Failure)


def test_listing_and_changes_are_decoded():
    item = b'{"metadata":{"name":"a","revision":3},"spec":{"b":1}}'
    listing = call_store(
        b'{"items":[' + item + b'],"as_of":5}',
        lambda store: store.list("kind"),
    )
    assert listing.revision == 5
    assert [(d.name, d.revision) for d in listing.documents] == [("a", 3)]
    changes = call_store(
        b'{"events":[{"object":' + item + b',"removed":true}],"as_of":6}',
        lambda store: store.watch("kind", 1, 0.1),
    )
    assert changes.revision == 6
    assert [c.is_removed for c in changes.changes] == [True]

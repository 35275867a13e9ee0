"""Responses that belong to no request, or to another one, are never taken."""

import asyncio

import pytest
from shallotstand.core.codes import ResultCode, is_not_run
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.standins.memory_engines import make_endpoint
from shallotstand.standins.scripted_http import (
    Reply,
    ScriptedServer,
    encode_response,
)

from .conftest import make_client

OWN_ID = {"X_Shallotstand_Attempt_Id": "r1"}
OTHER_ID = {"X_Shallotstand_Attempt_Id": "r0"}
SEAL = {"X_Shallotstand_Server_Seal": "seal"}
NOT_RUN = {"X_Shallotstand_Not_Executed": "1"}


def make_request(request_id="r1", is_repeatable=True):
    return EndpointRequest(
        "POST", "/a", "host.example", (), b"b", request_id, None, is_repeatable
    )


def send(response, is_stream=False, is_repeatable=True):
    async def scenario():
        server = ScriptedServer(lambda _: Reply((response,)))
        engine = make_endpoint("e1", address=await server.start())
        client = make_client()
        call = client.open_stream if is_stream else client.send_request
        try:
            return await call(
                engine, make_request(is_repeatable=is_repeatable), 0.5
            )
        finally:
            await client.close()
            await server.stop()

    return asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        ("200 OK", {}),
        ("200 OK", SEAL),
        ("200 OK", OWN_ID),
        ("200 OK", {**OWN_ID, "X_Shallotstand_Server_Seal": ""}),
        ("200 OK", {**OTHER_ID, **SEAL}),
        ("201 Created", OWN_ID),
        ("206 Part", SEAL),
        ("299 Odd", OWN_ID),
        ("404 None", {}),
        ("404 None", OTHER_ID),
        ("500 Error", {}),
        ("500 Error", {**OTHER_ID, **SEAL}),
        ("503 Full", {}),
        ("503 Full", {**OTHER_ID, **NOT_RUN}),
        ("421 Other", OTHER_ID),
    ],
)
def test_response_without_the_request_or_the_signature_is_of_no_use(
    status, headers, is_repeatable, is_stream
):
    # Guards against a caller who gets additional bytes of a faulty engine as
    # the answer, and against a request that counts as not run by the refusal
    # of another one.
    response = encode_response(status, b"foreign", **headers)
    outcome = send(response, is_stream, is_repeatable)
    assert isinstance(outcome, Failure)
    assert outcome.code == ResultCode.ENDPOINT_BAD_ANSWER
    assert not is_not_run(outcome.code)


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        ("503 Full", NOT_RUN),
        ("503 Full", {**OWN_ID, **NOT_RUN}),
        ("421 Other", {}),
        ("421 Other", OWN_ID),
    ],
)
def test_refusal_need_not_name_its_request(status, headers):
    assert is_not_run(send(encode_response(status, **headers)).code)


@pytest.mark.parametrize("status", ["400 Bad", "404 None", "500 Error"])
def test_error_needs_no_signature(status):
    outcome = send(encode_response(status, b"error", **OWN_ID))
    assert outcome.body == b"error"


def test_additional_response_on_a_kept_connection_is_of_no_use():
    # Guards against a response without a request that arrives while the next
    # request waits on the connection.
    def reply(request):
        request_id = request.headers["x-shallotstand-attempt-id"]
        own = encode_response(
            "200 OK",
            request_id.encode(),
            X_Shallotstand_Attempt_Id=request_id,
            **SEAL,
        )
        if request_id == "r2":
            return Reply((encode_response("200 OK", b"foreign"), own))
        return Reply((own,))

    async def scenario():
        server = ScriptedServer(reply)
        engine = make_endpoint("e1", address=await server.start())
        client = make_client()
        outcomes = [
            await client.send_request(engine, make_request(name), 0.5)
            for name in ("r1", "r2", "r3")
        ]
        await client.close()
        await server.stop()
        return outcomes, [r.connection_number for r in server.received]

    outcomes, connections = asyncio.run(asyncio.wait_for(scenario(), 10))
    first, second, third = outcomes
    assert (first.body, third.body) == (b"r1", b"r3")
    assert second.code == ResultCode.ENDPOINT_BAD_ANSWER
    assert connections == [1, 1, 2]

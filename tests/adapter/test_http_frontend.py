"""Tests of the HTTP front end over real connections."""

import asyncio
import contextlib

import aiohttp
import orjson
import pytest
from shallotstand.batches.records import Result, ResultState
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.endpoint_client import EndpointResponse
from shallotstand.standins.memory_engines import (
    ANSWER_CUT,
    REFUSED,
    MemoryStream,
    numbered_events,
)

from .frontend_harness import BATCH, KEY_HEADERS, get, post, run_scenario


def test_response_is_forwarded_with_its_signature():
    async def scenario(harness):
        headers = (("X-Shallotstand-Server-Seal", "seal"), ("X-Other", "1"))
        harness.engines.answer = lambda _: EndpointResponse(
            201, headers, b"whole", "seal"
        )
        response, body = await post(harness, "/safe/a%2Fb?q=1")
        assert (response.status, body) == (201, b"whole")
        assert response.headers["X-Shallotstand-Server-Seal"] == "seal"
        request = harness.engines.sent[0].request
        assert request.target == "/safe/a%2Fb?q=1"
        assert request.account == "account"
        assert "Authorization" not in dict(request.headers)
        counts = list(harness.meter.counts_by_window.values())
        assert counts == [{"account": 1}]

    run_scenario(scenario)


def test_key_and_route_determine_the_status():
    async def scenario(harness):
        for path, headers, status in (
            ("/safe/a", {}, 401),
            ("/safe/a", {"Authorization": "Token other"}, 401),
            ("/open/a", {}, 200),
            ("/none/a", KEY_HEADERS, 404),
            ("/none/a", {}, 404),
        ):
            response, _ = await post(harness, path, headers)
            assert response.status == status, path

    run_scenario(scenario)


def test_account_header_of_a_caller_is_ignored():
    async def scenario(harness):
        forged_headers = {**KEY_HEADERS, "X-Shallotstand-Tenant": "other"}
        await post(harness, "/safe/a", forged_headers)
        for sent in harness.engines.sent:
            names = [name.lower() for name, _ in sent.request.headers]
            assert "x-shallotstand-tenant" not in names
            assert sent.request.account == "account"

    run_scenario(scenario)


def test_idempotent_request_is_retried_at_another_endpoint():
    async def scenario(harness):
        answers = iter(
            [ANSWER_CUT, EndpointResponse(200, (), b"whole", "seal")]
        )
        harness.engines.answer = lambda _: next(answers)
        response, _ = await post(harness, "/safe/a")
        assert response.status == 200
        assert len({sent.endpoint for sent in harness.engines.sent}) == 2

    run_scenario(scenario)


def test_non_idempotent_request_is_not_retried():
    async def scenario(harness):
        harness.engines.answer = lambda _: ANSWER_CUT
        response, _ = await post(harness, "/once/a")
        assert response.status == 502
        assert len(harness.engines.sent) == 1

    run_scenario(scenario)


def test_refused_request_is_answered_with_retry_after():
    async def scenario(harness):
        harness.engines.answer = lambda _: REFUSED
        response, _ = await post(harness, "/once/a")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0

    run_scenario(scenario)


def test_request_to_a_stalled_endpoint_is_hedged():
    async def scenario(harness):
        harness.engines.answer = lambda _: (
            5.0
            if len(harness.engines.sent) == 1
            else EndpointResponse(200, (), b"b", "s")
        )
        response, _ = await post(harness, "/safe/a")
        assert response.status == 200

    run_scenario(scenario)


def test_request_fails_at_the_timeout_of_its_route():
    async def scenario(harness):
        harness.engines.answer = lambda _: 5.0
        started = SystemClock().monotonic()
        response, _ = await post(harness, "/once/a")
        assert response.status == 504
        assert SystemClock().monotonic() - started < 1.4

    run_scenario(scenario)


def test_request_without_a_configuration_is_refused():
    async def scenario(harness):
        harness.request_handler.configuration = None
        response, _ = await post(harness, "/safe/a")
        assert response.status == 503

    run_scenario(scenario)


def test_disconnect_of_the_caller_cancels_the_request():
    async def scenario(harness):
        harness.engines.answer = lambda _: 5.0
        _, writer = await asyncio.open_connection(*harness.address)
        writer.write(
            b"POST /once/a HTTP/1.1\r\nHost: host.example\r\n"
            b"Authorization: Token key\r\nContent-Length: 0\r\n\r\n"
        )
        while not harness.engines.sent:
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.2)
        assert not any(
            state.running
            for state in harness.endpoints.local_states_by_id().values()
        )

    run_scenario(scenario)


def test_draining_front_end_closes_keep_alive_connections():
    async def scenario(harness):
        harness.frontend.is_draining = True
        response, _ = await post(harness, "/safe/a")
        assert response.headers["Connection"] == "close"

    run_scenario(scenario)


def test_large_headers_are_accepted():
    async def scenario(harness):
        response, _ = await post(
            harness, "/safe/a", {**KEY_HEADERS, "X-Big": "x" * 7500}
        )
        assert response.status == 200

    run_scenario(scenario)


def test_stream_is_forwarded_and_resumed():
    async def scenario(harness):
        def stream(sent):
            last = sent.request.last_event_id
            if last is None:
                return MemoryStream(
                    [*_events_with_raw_bytes(1, 2), ANSWER_CUT], 1
                )
            return MemoryStream(_events_with_raw_bytes(last + 1, 3), 1)

        harness.engines.stream = stream
        response, body = await post(harness, "/stream/a")
        assert response.status == 200
        assert body == b"".join(
            event.raw for event in _events_with_raw_bytes(1, 3)
        )

    run_scenario(scenario)


def test_error_of_the_next_engine_is_no_part_of_a_stream():
    # Guards against a caller who finds the error of another engine in the
    # middle of a stream, or a broken stream that ends as if it were complete.
    async def scenario(harness):
        answers = iter(
            [
                MemoryStream([*_events_with_raw_bytes(1, 2), ANSWER_CUT], 1),
                MemoryStream([], None, 500),
            ]
        )
        harness.engines.stream = lambda _: next(answers)
        async with harness.session.post(
            f"{harness.url}/stream/a",
            headers={"Host": "host.example", **KEY_HEADERS},
        ) as response:
            received = b""
            with pytest.raises(aiohttp.ClientPayloadError):
                async for chunk in response.content.iter_any():
                    received += chunk
        assert received == b"".join(
            event.raw for event in _events_with_raw_bytes(1, 2)
        )

    run_scenario(scenario)


@pytest.mark.parametrize("status", [422, 500])
def test_error_in_place_of_a_stream_is_forwarded(status):
    # Guards against an engine's own answer that is lost since its content is
    # read as events.
    async def scenario(harness):
        harness.engines.stream = lambda _: MemoryStream([], None, status)
        response, body = await post(harness, "/stream/a")
        assert (response.status, body) == (status, b"error")

    run_scenario(scenario)


def _events_with_raw_bytes(first, last):
    return [
        event._replace(raw=f"id: {event.number}\n\n".encode())
        for event in numbered_events(first, last)
    ]


def test_batch_is_submitted_read_and_ended():
    async def scenario(harness):
        body = orjson.dumps(BATCH)
        for _ in range(2):
            response, _ = await post(harness, "/lots/b1", body=body)
            assert response.status == 202
        result = Result("i1", ResultState.COMPLETED, "text", (1, 2), "seal")
        await harness.log.append(harness.batches.by_id["r1"], [result])
        page = await get(harness, "/shallotstand/lots/r1?after=0")
        assert orjson.loads(page[1]) == {
            "total": 1,
            "next": 1,
            "results": [
                {
                    "id": "i1",
                    "state": "completed",
                    "text": "text",
                    "versions": [1, 2],
                    "score": "seal",
                }
            ],
        }
        item = await get(harness, "/shallotstand/items/r1?id=i1")
        assert item == (200, b"\xab\xcd\xef")
        for _ in range(2):
            async with harness.session.delete(
                harness.url + "/shallotstand/lots/r1",
                headers={"Host": "host.example", **KEY_HEADERS},
            ) as response:
                assert response.status == 200
        assert harness.batches.by_id["r1"].is_ended

    run_scenario(scenario)


def test_unknown_and_invalid_batches_are_refused():
    async def scenario(harness):
        assert (await get(harness, "/shallotstand/lots/none"))[0] == 404
        invalid_position = await get(harness, "/shallotstand/lots/none?after=x")
        assert invalid_position[0] == 400
        duplicate_items = {**BATCH, "items": BATCH["items"] * 2}
        for body in (b"", b"[]", b"{}", orjson.dumps(duplicate_items)):
            response, _ = await post(harness, "/lots/b1", body=body)
            assert response.status == 400
        harness.store.set_down(True)
        assert (await get(harness, "/shallotstand/lots/none"))[0] == 503

    run_scenario(scenario)


async def open_request(harness, header):
    """Sends the head of a request on a connection of its own."""
    reader, writer = await asyncio.open_connection(
        harness.address.host, harness.address.port
    )
    head = f"POST /safe/a HTTP/1.1\r\nHost: host.example\r\n{header}\r\n\r\n"
    writer.write(head.encode())
    return reader, writer


def test_body_over_the_operators_limit_is_refused():
    # Guards against bodies that fill the memory of a gateway.
    async def scenario(harness):
        harness.frontend.limit_bodies(1 << 20)
        header = f"Content-Length: {(1 << 20) + 1}"
        reader, writer = await open_request(harness, header)
        assert (await reader.readline()).split()[1] == b"413"
        writer.close()
        _, body = await post(harness, "/safe/a", body=b"a" * (1 << 19))
        assert body

    run_scenario(scenario)


def test_body_without_end_is_given_up():
    async def scenario(harness):
        harness.frontend.limit_bodies(1 << 20)
        _, writer = await open_request(harness, "Transfer-Encoding: chunked")
        sent_bytes = 0
        with contextlib.suppress(ConnectionError):
            while sent_bytes < 64 << 20:
                writer.write(b"10000\r\n" + b"a" * 65536 + b"\r\n")
                await writer.drain()
                sent_bytes += 65536
        writer.close()
        # The kernel's buffers hold some more than the limit.
        assert sent_bytes < 24 << 20

    run_scenario(scenario)

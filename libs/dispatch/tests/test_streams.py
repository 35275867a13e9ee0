"""Slow streams are delivered, stalled ones resume or end at the deadline."""

import asyncio
import random

import pytest
from shallotstand.core.clock import SystemClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch import streams
from shallotstand.dispatch.config import Route, RouteKind, RouteTarget
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.dispatch.streams import CallerStream
from shallotstand.standins.memory_engines import (
    ANSWER_CUT,
    MemoryEngines,
    MemoryStream,
    MemoryStreamOrigins,
    make_endpoint,
    numbered_events,
)

STALL_S = 0.1


@pytest.fixture(autouse=True)
def short_stall(monkeypatch):
    monkeypatch.setattr(streams, "STALL_TIMEOUT_S", STALL_S)


def make_route(is_resumable):
    return Route(
        name="stream",
        host="host.example",
        path_prefix="/stream/",
        kind=RouteKind.STREAM,
        targets=(RouteTarget("engines", 1.0),),
        timeout_s=5.0,
        objective_s=1.0,
        priority=5,
        max_attempts=3,
        is_public=False,
        is_resumable=is_resumable,
        results_due_s=0.0,
        item_ttl_s=0.0,
        is_single_version=False,
    )


def read_stream(
    stream,
    is_resumable,
    deadline_s=2.0,
    engines=("a", "b"),
    starts=None,
    change=None,
):
    """Returns what the caller receives and the engines that were asked.

    Args:
      stream: Returns the stream that a call opens.
      is_resumable: Whether the stream may be resumed.
      deadline_s: Seconds until the stream has to end.
      engines: Names of the engines.
      starts: Starts that engines report instead of those of their entries.
      change: Called with the registry 0.1 s after the start.
    """

    async def scenario():
        clock = SystemClock()
        registry = EndpointRegistry("zone-a", clock)
        for name in engines:
            registry.update_endpoint(make_endpoint(name))
        client = MemoryEngines()
        client.stream = stream
        client.start_by_endpoint.update(starts or {})
        if change is not None:
            asyncio.get_running_loop().call_later(0.1, change, registry)
        caller_stream = CallerStream(
            registry,
            client,
            clock,
            make_route(is_resumable),
            EndpointRequest(
                "POST", "/a", "host.example", (), b"", "r1", None, is_resumable
            ),
            clock.monotonic() + deadline_s,
            MemoryStreamOrigins(),
            StartCheck(client),
        )
        failure = await caller_stream.open()
        received = [event async for event in caller_stream.events()]
        caller_stream.close()
        if failure is not None:
            received.append(failure)
        return received, [sent.endpoint for sent in client.sent]

    return asyncio.run(asyncio.wait_for(scenario(), 10))


def paced(pause_s, first, last):
    return [
        part
        for event in numbered_events(first, last)
        for part in (pause_s, event)
    ]


def first_number(sent):
    return (sent.request.last_event_id or 0) + 1


def test_slow_but_sound_stream_is_not_cut():
    # Guards against a stream that is cut although each of its events arrives,
    # only because the pauses are long.
    received, endpoints = read_stream(
        lambda _: MemoryStream(paced(STALL_S * 3, 1, 3), 1),
        is_resumable=False,
    )
    assert [event.number for event in received] == [1, 2, 3]
    assert len(endpoints) == 1


def test_stalled_stream_that_cannot_resume_ends_at_its_deadline():
    # Guards against a stream without an end: nothing bounded the wait for an
    # event, so a stream that sent a byte now and then held its caller forever.
    received, endpoints = read_stream(
        lambda _: MemoryStream([*numbered_events(1, 1), 9.0], 1),
        is_resumable=False,
        deadline_s=0.3,
    )
    assert received[0].number == 1
    assert isinstance(received[-1], Failure)
    assert received[-1].code == ResultCode.ENDPOINT_TIMEOUT
    assert len(endpoints) == 1


def test_stalled_stream_resumes_after_its_last_event():
    # Guards against a caller that waits for an engine that has stalled while
    # another one could go on.
    def stream(sent):
        if sent.request.last_event_id is None:
            return MemoryStream([*numbered_events(1, 2), 9.0], 1)
        return MemoryStream(numbered_events(first_number(sent), 4), 1)

    received, endpoints = read_stream(stream, is_resumable=True)
    assert [event.number for event in received] == [1, 2, 3, 4]
    assert sorted(endpoints) == ["a", "b"]


def test_last_endpoint_has_until_the_deadline():
    # Guards against a stream that is given up at a pause although no other
    # endpoint is left and the engine goes on later.
    def stream(sent):
        if sent.request.last_event_id is None:
            return MemoryStream([*numbered_events(1, 1), ANSWER_CUT], 1)
        return MemoryStream(paced(STALL_S * 3, first_number(sent), 3), 1)

    received, endpoints = read_stream(stream, is_resumable=True)
    assert [event.number for event in received] == [1, 2, 3]
    assert sorted(endpoints) == ["a", "b"]


def test_cut_stream_never_looks_complete():
    # Guards against a partial answer that reaches its caller as a success.
    received, _ = read_stream(
        lambda _: MemoryStream([*numbered_events(1, 2), ANSWER_CUT], 1),
        is_resumable=False,
    )
    assert received[-1] == ANSWER_CUT


def test_streams_cut_at_random_points_are_delivered_once_and_in_order():
    # Guards against gaps and repeats where pieces of two runs are joined.
    rng = random.Random(7)
    for _ in range(30):
        cut_after = rng.randint(1, 5)

        def stream(sent, cut_after=cut_after):
            first = first_number(sent)
            if first > 1:
                return MemoryStream(numbered_events(first, 6), 1)
            return MemoryStream([*numbered_events(1, cut_after), ANSWER_CUT], 1)

        received, _ = read_stream(stream, is_resumable=True)
        assert [event.number for event in received] == [1, 2, 3, 4, 5, 6]


def error_stream(status=500):
    return MemoryStream([], None, status)


@pytest.mark.parametrize("status", [400, 500, 503])
def test_error_of_the_next_engine_does_not_end_the_stream(status):
    # Guards against a stream that broke off and ends as if it were complete,
    # since the engine on which it resumes responds with an error.
    def stream(sent):
        if sent.request.last_event_id is None:
            return MemoryStream([*numbered_events(1, 2), ANSWER_CUT], 1)
        return error_stream(status)

    received, endpoints = read_stream(stream, is_resumable=True)
    assert [event.number for event in received[:2]] == [1, 2]
    assert isinstance(received[2], Failure)
    assert len(received) == 3
    assert sorted(endpoints) == ["a", "b"]


def test_stream_resumes_past_an_engine_that_responds_with_an_error():
    # Guards against a stream that is given up although a third engine could
    # go on.
    answers = iter(
        [
            MemoryStream([*numbered_events(1, 2), ANSWER_CUT], 1),
            error_stream(),
            MemoryStream(numbered_events(3, 4), 1),
        ]
    )
    received, endpoints = read_stream(
        lambda _: next(answers), is_resumable=True, engines=("a", "b", "c")
    )
    assert [event.number for event in received] == [1, 2, 3, 4]
    assert sorted(endpoints) == ["a", "b", "c"]


def test_first_engine_with_an_error_is_replaced_if_the_stream_may_resume():
    answers = iter([error_stream(), MemoryStream(numbered_events(1, 2), 1)])
    received, _ = read_stream(lambda _: next(answers), is_resumable=True)
    assert [event.number for event in received] == [1, 2]


def test_stream_never_begins_at_an_engine_with_another_start():
    # Guards against a stream that counts as begun by the software that the
    # engine ran before.
    received, endpoints = read_stream(
        lambda _: MemoryStream(numbered_events(1, 3), 1),
        is_resumable=True,
        starts={"a": 9},
    )
    assert [event.number for event in received] == [1, 2, 3]
    assert endpoints == ["a", "b"]


def test_stream_never_goes_on_at_an_engine_with_another_start():
    # Guards against events of two software versions in one stream: the list of
    # engines does not tell yet that one has started again.
    def stream(sent):
        if sent.endpoint == "a":
            return MemoryStream([*numbered_events(1, 2), ANSWER_CUT], 1)
        return MemoryStream(numbered_events(first_number(sent), 4), 1)

    received, endpoints = read_stream(
        stream, True, engines=("a", "b", "c"), starts={"b": 9}
    )
    assert [event.number for event in received] == [1, 2, 3, 4]
    assert endpoints == ["a", "b", "c"]


def test_stream_begins_once_the_new_start_is_listed():
    # Guards against an error where the only engine has just started again.
    received, endpoints = read_stream(
        lambda _: MemoryStream(numbered_events(1, 3), 1),
        True,
        engines=("a",),
        starts={"a": 9},
        change=lambda registry: registry.update_endpoint(
            make_endpoint("a", started_ms=9, software_version="newer")
        ),
    )
    assert [event.number for event in received] == [1, 2, 3]
    assert endpoints == ["a", "a"]


def test_stream_fails_soon_if_the_new_start_is_not_listed():
    started = SystemClock().monotonic()
    received, endpoints = read_stream(
        lambda _: MemoryStream(numbered_events(1, 3), 1),
        True,
        deadline_s=5.0,
        engines=("a",),
        starts={"a": 9},
    )
    assert received[-1].code == ResultCode.ENDPOINT_RESTARTED
    assert endpoints == ["a"]
    assert SystemClock().monotonic() - started < 1.0


def test_stream_that_is_never_resumed_is_not_checked():
    received, _ = read_stream(
        lambda _: MemoryStream(numbered_events(1, 3), 1),
        is_resumable=False,
        starts={"a": 9, "b": 9},
    )
    assert [event.number for event in received] == [1, 2, 3]

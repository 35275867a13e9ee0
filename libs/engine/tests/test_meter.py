"""Token counts and weight versions come from the engine's own answer."""

import json

from shallotstand.engine.meter import StreamMeter, Usage, VersionSpan, collect


def event(text: str, version: str, finish: str | None = None) -> bytes:
    body = {
        "model": "drafts",
        "system_fingerprint": version,
        "choices": [{"text": text, "finish_reason": finish}],
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"


USAGE = (
    b'data: {"choices": [], "usage": '
    b'{"prompt_tokens": 7, "completion_tokens": 3}}\n\n'
)
STREAM = (
    event("a", "v1")
    + event("b", "v1")
    + event("c", "v2")
    + event("", "v2", "length")
    + USAGE
    + b"data: [DONE]\n\n"
)


def test_swap_in_mid_answer_gives_two_spans():
    answer = collect(STREAM)
    assert answer.text == "abc"
    assert answer.spans == (VersionSpan("v1", 2), VersionSpan("v2", 1))
    assert answer.usage == Usage(7, 3)
    assert answer.finish_reason == "length"


def test_missing_version_is_an_empty_one():
    assert collect(event("a", "")).spans == (VersionSpan("", 1),)


def test_cut_stream_keeps_what_was_generated():
    cut = STREAM[: STREAM.index(b'"text": "c"') + 5]
    answer = collect(cut)
    assert answer.text == "ab"
    assert answer.finish_reason == ""
    assert answer.usage == Usage(0, 2)


def test_meter_reads_usage_however_the_stream_is_split():
    for size in (1, 7, 64, len(STREAM)):
        meter = StreamMeter()
        for start in range(0, len(STREAM), size):
            meter.feed(STREAM[start : start + size])
        assert meter.usage() == Usage(7, 3)


def test_meter_counts_events_of_a_cut_stream():
    for size in (1, 5, 1000):
        meter = StreamMeter()
        cut = event("a", "v1") + event("b", "v1") + b"data: {"
        for start in range(0, len(cut), size):
            meter.feed(cut[start : start + size])
        assert meter.usage() == Usage(0, 2)


def test_garbage_is_no_answer():
    assert collect(b"\x00\xff\n\ndata: {\n\ndata: []\n\n").text == ""

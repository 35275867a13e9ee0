"""Tests of how answers are judged and counted."""

import pytest
from shallotstand.load.figures import BROKEN, WRONG, Figures, Outcome
from shallotstand.load.runner import judge_answer

ERROR = b'{"error":{"code":%d,"message":"x"}}'


@pytest.mark.parametrize(
    ("status", "body", "streamed", "expected"),
    [
        (200, b"data: {}\n\ndata: [DONE]\n\n", True, (0, "")),
        (200, b"data: {}\n\n", True, (0, WRONG)),
        (200, b"data: {}\n\ndata: " + ERROR % 2001 + b"\n\n", True, (2001, "")),
        (200, b'{"choices":[{"finish_reason":"length"}]}', False, (0, "")),
        (200, b'{"choices":[{"finish_reason":null}]}', False, (0, WRONG)),
        (200, b"", False, (0, WRONG)),
        (429, ERROR % 1009, False, (1009, "")),
        (503, b"<html>", False, (0, WRONG)),
        (503, ERROR % 1234, False, (0, WRONG)),
    ],
)
def test_cut_answers_do_not_count_as_served(status, body, streamed, expected):
    # Guards against a truncated answer that is counted as whole.
    assert judge_answer(status, body, streamed) == expected


def test_figures_add_up():
    # Guards against outcomes that are lost in the report.
    figures = Figures()
    for number in range(1, 101):
        figures.add(Outcome("a", 0, "", number / 1000, number / 500))
    figures.add(Outcome("a", 1009, "", 0.0, 0.0))
    figures.add(Outcome("b", 0, BROKEN, 0.0, 0.0))
    lines = {(line.figure, line.label): line.value for line in figures.lines()}
    assert figures.ended == 102
    assert lines["served", ""] == 100
    assert lines["refused", "1009"] == 1
    assert lines["broken", ""] == 1
    assert lines["first_byte_p50", "a"] == pytest.approx(50, rel=0.01)
    assert lines["latency_p99", ""] == pytest.approx(198, rel=0.01)

"""One identifier is followed through the logs of several processes."""

import json

import pytest
from shallotstand.cli import log_trace
from shallotstand.core.codes import ResultCode


def line(time, process, message, **fields):
    return json.dumps(
        {
            "time": time,
            "level": "info",
            "program": "shallotstand-gateway",
            "process": process,
            "message": message,
            **fields,
        }
    )


@pytest.fixture
def logs(tmp_path):
    first = tmp_path / "first.log"
    first.write_text(
        "\n".join(
            [
                line(10.0, "g1", "Batch accepted", batch="b1", account="a"),
                line(10.5, "g1", "Item done", batch="b1", item="i1"),
                line(10.6, "g1", "Item done", batch="b1", item="i2"),
                "Traceback (most recent call last):",
                "{not json",
            ]
        )
    )
    second = tmp_path / "second.log"
    second.write_text(
        "   9.100 edge-1 "
        + line(9.1, "g2", "Request ended", request="r1", code=1012)
        + "\n"
        + line(10.55, "g2", "Batch taken over", batch="b1", owner="g1")
    )
    return [str(first), str(second)]


def messages(found):
    return [(entry.process, entry.message) for entry in found]


def test_batch_is_followed_in_the_order_of_time(logs):
    found = log_trace.trace(log_trace.read_logs(logs), "b1")
    assert messages(found) == [
        ("g1", "Batch accepted"),
        ("g1", "Item done"),
        ("g2", "Batch taken over"),
        ("g1", "Item done"),
    ]


def test_item_comes_with_its_batch_but_not_its_neighbours(logs):
    found = log_trace.trace(log_trace.read_logs(logs), "i1")
    assert messages(found) == [
        ("g1", "Batch accepted"),
        ("g1", "Item done"),
        ("g2", "Batch taken over"),
    ]


def test_line_behind_a_prefix_is_read(logs):
    found = log_trace.trace(log_trace.read_logs(logs), "r1")
    assert found[0].fields == {"request": "r1", "code": 1012}
    assert "Request ended: request=r1 code=1012" in log_trace.render_trace(
        found
    )


def test_unknown_identifier_is_a_failure(logs):
    outcome = log_trace.trace(log_trace.read_logs(logs), "none")
    assert outcome.code == ResultCode.OBJECT_NOT_FOUND


def test_missing_file_is_a_failure():
    assert log_trace.read_logs(["/none"]).code == ResultCode.BAD_REQUEST


def test_summary_counts_causes(logs):
    causes = log_trace.summarise(log_trace.read_logs(logs))
    assert causes[0]["message"] == "Item done"
    assert causes[0]["lines"] == 2

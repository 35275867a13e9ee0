"""Log lines are JSON objects with named fields."""

import json
import logging

from shallotstand.core.logs import JsonFormatter


def test_line_is_one_json_object():
    record = logging.LogRecord(
        "absl", logging.WARNING, "f.py", 1, "Endpoint ended", None, None
    )
    record.fields = {"endpoint": "e1"}
    line = JsonFormatter("shallotstand-entry", "entry-1").format(record)
    assert "\n" not in line
    fields = json.loads(line)
    assert fields["endpoint"] == "e1"
    assert fields["level"] == "warning"
    assert fields["program"] == "shallotstand-entry"

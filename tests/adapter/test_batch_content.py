"""What batches may contain."""

import copy

import orjson
import pytest

from .forwarding_cases import (
    CONNECTION_HEADERS,
    MALFORMED_IDENTIFIERS,
    MALFORMED_NAMES,
    MALFORMED_TARGETS,
    MALFORMED_VALUES,
    SYSTEM_HEADERS,
    SYSTEM_PATHS,
)
from .frontend_harness import BATCH, post, run_scenario


def changed_batch(scorer=None, **fields):
    """Returns a batch whose item, or its scorer, has other fields."""
    batch = copy.deepcopy(BATCH)
    (item,) = batch["items"]
    item.update(fields)
    item["scorer"].update(scorer or {})
    return batch


def submit(batch, status):
    """Submits a batch; returns its item as it was accepted."""
    accepted = []

    async def scenario(harness):
        response, body = await post(
            harness, "/lots/b1", body=orjson.dumps(batch)
        )
        assert response.status == status, body
        accepted.extend(
            known.submission for known in harness.batches.by_id.values()
        )
        if status == 400:
            assert response.headers["X-Result-Code"] == "1006"
            assert not harness.store.call_counts

    run_scenario(scenario)
    return accepted[0].items[0] if accepted else None


def test_item_carries_only_headers_that_it_may_name():
    # Guards against work that runs under another account's name.
    item = submit(
        changed_batch(
            headers={
                "x-own": "1",
                **dict.fromkeys(SYSTEM_HEADERS, "1"),
                **dict.fromkeys(CONNECTION_HEADERS, "1"),
                **dict.fromkeys(map(str.lower, SYSTEM_HEADERS), "2"),
            }
        ),
        202,
    )
    assert item.headers == (("x-own", "1"),)


@pytest.mark.parametrize("name", MALFORMED_NAMES)
def test_malformed_header_name_of_an_item_is_refused(name):
    submit(changed_batch(headers={name: "1"}), 400)


@pytest.mark.parametrize(
    "value", [v for v in MALFORMED_VALUES if v != "\udcff"]
)
def test_malformed_header_value_of_an_item_is_refused(value):
    # Guards against a batch that is accepted and never finished.
    submit(changed_batch(headers={"X-Own": value}), 400)


@pytest.mark.parametrize("identifier", MALFORMED_IDENTIFIERS)
def test_malformed_identifier_is_refused(identifier):
    submit(changed_batch(id=identifier), 400)
    submit(changed_batch(scorer={"id": identifier}), 400)


@pytest.mark.parametrize(
    "path",
    [*MALFORMED_TARGETS, *SYSTEM_PATHS, None, 5, "lots/1", "http://e1/lots/1"],
)
def test_path_that_may_not_be_named_is_refused(path):
    # Guards against items and scoring requests that give engines orders.
    submit(changed_batch(path=path), 400)
    submit(changed_batch(scorer={"path": path}), 400)


@pytest.mark.parametrize(
    "path", ["/safe/1", "/once/1", "/stream/1", "/none/1", "/"]
)
def test_item_stays_on_routes_for_batches(path):
    # Guards against items that run, and are repeated, at services that no
    # batch may use.
    submit(changed_batch(path=path), 400)


@pytest.mark.parametrize("path", ["/lots/1", "/stream/1"])
def test_scoring_request_stays_on_routes_with_unary_responses(path):
    # Guards against rollouts that run as scoring requests of no account.
    submit(changed_batch(scorer={"path": path}), 400)


@pytest.mark.parametrize("path", ["/safe/1?a=b", "/once/1", "/later/1"])
def test_scoring_request_may_name_other_routes(path):
    # Its route may be added later.
    item = submit(changed_batch(scorer={"path": path}), 202)
    assert item.scorer.target == path


@pytest.mark.parametrize("host", [None, 5, "", "a b", "a\r\nX: 1"])
def test_malformed_host_of_a_scoring_request_is_refused(host):
    submit(changed_batch(scorer={"host": host}), 400)


@pytest.mark.parametrize("hint", ["inf", "nan", "-1", "1e999", "many"])
def test_size_that_is_no_number_is_refused(hint):
    # Guards against a batch that ends its request without an answer.
    headers = {"X-Shallotstand-Length-Hint": hint}
    submit(changed_batch(headers=headers), 400)


@pytest.mark.parametrize("identifier", ["", "a/b", "../config", "a b"])
def test_malformed_identifier_of_a_batch_is_refused(identifier):
    # Guards against a batch that nobody can read.
    async def scenario(harness):
        response, _ = await post(
            harness,
            "/lots/b1",
            body=orjson.dumps(BATCH),
            **{"X-Shallotstand-Attempt-Id": identifier},
        )
        assert response.status == 400
        assert not harness.store.call_counts

    run_scenario(scenario)

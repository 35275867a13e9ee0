"""Access to batches after their route, their keys or the process changed."""

import asyncio

import orjson
import pytest
from shallotstand.batches.records import (
    BATCH_LOG_KIND,
    SUBMISSION_SUFFIX,
    Result,
    ResultState,
    entry_name,
)
from shallotstand.dispatch.config import RouteKind, RouteTarget
from shallotstand.documents.protocols import Document

from .frontend_harness import (
    BATCH,
    KEY_HEADERS,
    ROUTES,
    get,
    make_route,
    post,
    run_scenario,
)

OTHER_ROUTES = [route for route in ROUTES if route.name != "lots"]
KEYS = {"account": ["key", "key-2"], "other": ["other-key"]}
OTHER_KEY = {"Authorization": "Token other-key"}
RESULT = Result("i1", ResultState.COMPLETED, "text", (1,), "seal")
PAGE_PATH = "/shallotstand/lots/r1?after=0"
ITEM_PATH = "/shallotstand/items/r1?id=i1"
BATCH_PATH = "/shallotstand/lots/r1"
CHANGES = {
    "removed": OTHER_ROUTES,
    "no routes": [],
    "split": [
        *OTHER_ROUTES,
        make_route("lots", RouteKind.BATCH, path_prefix="/lots/b1/"),
        make_route("rest", RouteKind.BATCH, path_prefix="/lots/"),
    ],
    "moved to another host": [
        *OTHER_ROUTES,
        make_route("lots", RouteKind.BATCH, host="other.example"),
    ],
    "moved to another service": [
        *OTHER_ROUTES,
        make_route(
            "lots", RouteKind.BATCH, targets=(RouteTarget("others", 1.0),)
        ),
    ],
    "of another kind": [
        *OTHER_ROUTES,
        make_route("lots", RouteKind.IDEMPOTENT),
    ],
}


async def submit(harness, has_result=True, headers=KEY_HEADERS):
    body = orjson.dumps(BATCH)
    response, _ = await post(harness, "/lots/b1", headers, body=body)
    assert response.status == 202
    if has_result:
        await harness.log.append(harness.batches.by_id["r1"], [RESULT])


async def assert_readable(harness, headers=KEY_HEADERS):
    status, body = await get(harness, PAGE_PATH, headers)
    assert status == 200, body
    assert [r["id"] for r in orjson.loads(body)["results"]] == ["i1"]
    assert await get(harness, ITEM_PATH, headers) == (200, b"\xab\xcd\xef")


@pytest.mark.parametrize("is_new_process", [False, True])
@pytest.mark.parametrize("change", CHANGES)
def test_batch_outlives_its_route(change, is_new_process):
    # Guards against results that can't be read, and batches that can't be
    # ended, once the operator has changed the route that accepted them.
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        for routes in (CHANGES[change], ROUTES, CHANGES[change]):
            harness.configure(routes, KEYS)
            if is_new_process:
                harness.start_without_batches()
            await assert_readable(harness)
            await assert_readable(harness, {"Authorization": "Token key-2"})
        assert (await get(harness, BATCH_PATH, method="DELETE"))[0] == 200
        assert harness.batches.by_id["r1"].is_ended
        await assert_readable(harness)

    run_scenario(scenario)


@pytest.mark.parametrize("change", CHANGES)
def test_batch_is_accepted_again_without_its_route(change):
    # Guards against a caller whose connection broke before the answer and who
    # is then told that its batch does not run, or whose batch runs as a single
    # request on a route of another kind.
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        harness.configure(CHANGES[change], KEYS)
        await submit(harness, has_result=False)
        await assert_readable(harness)
        assert not harness.engines.sent

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/lots/b1", OTHER_KEY, 404),
        ("/lots/b1", {}, 404),
        ("/lots/b2", KEY_HEADERS, 404),
        ("/safe/b1", KEY_HEADERS, 200),
    ],
)
def test_other_request_with_the_identifier_is_not_the_batch(
    path, headers, status
):
    # Guards against an account that learns of the batches of another, and
    # against requests that are answered in place of being run.
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        harness.configure(OTHER_ROUTES, KEYS)
        response, _ = await post(harness, path, headers)
        assert response.status == status

    run_scenario(scenario)


def test_read_that_waits_outlives_the_route():
    # Guards against a wait that ends without the result that it waits for.
    async def scenario(harness):
        await submit(harness, has_result=False)
        harness.configure(OTHER_ROUTES)
        waiting = asyncio.create_task(
            get(
                harness,
                PAGE_PATH,
                {**KEY_HEADERS, "X-Shallotstand-Wait-Ms": "1000"},
            )
        )
        await asyncio.sleep(0.1)
        assert not waiting.done()
        harness.configure([])
        await harness.log.append(harness.batches.by_id["r1"], [RESULT])
        status, body = await waiting
        assert status == 200
        assert len(orjson.loads(body)["results"]) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("is_new_process", [False, True])
@pytest.mark.parametrize("routes", [ROUTES, OTHER_ROUTES])
def test_batch_is_open_to_its_account_alone(routes, is_new_process):
    # Guards against another account that reads or ends a batch, with or
    # without the route that accepted it.
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        harness.configure(routes, KEYS)
        for headers, status in (
            (OTHER_KEY, 404),
            ({"Authorization": "Token none"}, 401),
            ({}, 401),
        ):
            if is_new_process:
                harness.start_without_batches()
            for path, method in (
                (PAGE_PATH, "GET"),
                (ITEM_PATH, "GET"),
                (BATCH_PATH, "DELETE"),
            ):
                answer = await get(harness, path, headers, method)
                assert answer[0] == status, answer
        batch = await harness.log.read("r1")
        assert not batch.is_ended

    run_scenario(scenario)


def test_key_that_has_ended_opens_nothing():
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        harness.configure(OTHER_ROUTES, {**KEYS, "account": ["key-2"]})
        for path in (PAGE_PATH, ITEM_PATH):
            assert (await get(harness, path))[0] == 401
        await assert_readable(harness, {"Authorization": "Token key-2"})

    run_scenario(scenario)


def test_key_of_another_account_since_opens_nothing():
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        harness.configure(ROUTES, {"account": ["key-2"], "other": ["key"]})
        assert (await get(harness, PAGE_PATH))[0] == 404

    run_scenario(scenario)


def test_batch_without_an_account_outlives_its_public_route():
    async def scenario(harness):
        public = make_route("lots", RouteKind.BATCH, is_public=True)
        harness.configure([*OTHER_ROUTES, public], KEYS)
        await submit(harness, headers={})
        await assert_readable(harness, {})
        harness.start_without_batches()
        await assert_readable(harness, {})
        harness.configure(OTHER_ROUTES, KEYS)
        harness.start_without_batches()
        name = entry_name("r1", SUBMISSION_SUFFIX)
        harness.batches.apply(Document(BATCH_LOG_KIND, name, 1, None))
        await assert_readable(harness, {})
        assert (await get(harness, PAGE_PATH, KEY_HEADERS))[0] == 404

    run_scenario(scenario)


def test_refusal_is_not_final_while_the_configuration_may_be_old():
    # Guards against a caller that gives up its batch, since a process does not
    # know of a new key yet.
    async def scenario(harness):
        harness.configure(ROUTES, KEYS)
        await submit(harness)
        harness.request_handler.is_configuration_current = lambda: False
        new_key = {"Authorization": "Token key-3"}
        assert (await get(harness, PAGE_PATH, new_key))[0] == 503
        assert (await get(harness, PAGE_PATH, {}))[0] == 503
        await assert_readable(harness)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "path",
    [
        "/shallotstand/lots/",
        "/shallotstand/lots/a/b",
        "/shallotstand/lots/..%2Fconfig",
        "/shallotstand/items/?id=i1",
    ],
)
def test_malformed_identifier_is_that_of_no_batch(path):
    # Guards against reads of other objects of the store.
    async def scenario(harness):
        assert (await get(harness, path))[0] == 404
        assert not harness.store.call_counts

    run_scenario(scenario)


@pytest.mark.parametrize("headers", [{}, {"Authorization": "Token none"}])
def test_caller_without_an_account_causes_no_read_of_the_store(headers):
    # Guards against load on the store by callers that may not read anything.
    async def scenario(harness):
        for path in (PAGE_PATH, ITEM_PATH):
            assert (await get(harness, path, headers))[0] == 401
        assert (await get(harness, BATCH_PATH, headers, "DELETE"))[0] == 401
        assert not harness.store.call_counts

    run_scenario(scenario)


@pytest.mark.parametrize("position", ["x", "-1", "\u00b2", "9" * 40])
def test_malformed_position_is_refused(position):
    async def scenario(harness):
        await submit(harness)
        path = f"/shallotstand/lots/r1?after={position}"
        assert (await get(harness, path))[0] == 400

    run_scenario(scenario)

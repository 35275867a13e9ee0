"""The soak test: a short seeded run, and each check on a planted violation."""

import asyncio
import itertools
import types

import orjson
import pytest
from shallotstand.standins.duty_calls import DutyCall, DutyCallLog
from shallotstand.standins.fleet_engine import FleetEngine

from soak.checks import find_violations
from soak.leaving import PassedAnswer
from soak.load import (
    ITEMS_PER_BATCH,
    VISIBILITY_BOUND_S,
    CallResult,
    LoadGenerator,
)
from soak.run import run_soak
from soak.schedule import draw_faults
from soak.streams import StreamClient

# Seeds whose runs had violations, with the causes.
REGRESSIONS = {
    366347: "a waiting item was not notified of slots that peers released",
}


def test_short_run_has_no_violations(tmp_path):
    outcome = asyncio.run(run_soak(7, 8.0, tmp_path))
    assert outcome.violations == []
    assert outcome.batches > 0
    assert outcome.answered > 0
    assert outcome.streams > 0


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_regression_seed_has_no_violations(tmp_path, seed):
    assert asyncio.run(run_soak(seed, 15.0, tmp_path)).violations == []


def test_seed_determines_the_schedule():
    assert draw_faults(3, 20.0, 5) == draw_faults(3, 20.0, 5)
    assert draw_faults(3, 20.0, 5) != draw_faults(4, 20.0, 5)


@pytest.fixture
def fleet():
    return types.SimpleNamespace(
        plain_engine=FleetEngine("p1"),
        engines=[FleetEngine("e1"), FleetEngine("e2")],
        more_engines=(),
        platform=types.SimpleNamespace(
            reports=[(1, {"a": 1}, "k1", 1), (2, {}, "k2", 2)],
            duty_calls=DutyCallLog(checks_fences=False),
        ),
    )


@pytest.fixture
def load(fleet):
    load = LoadGenerator(fleet, 1)
    load.call_results = [
        CallResult("r1", True, 200, b"r1"),
        CallResult("r2", True, 503, b""),
        CallResult("r3", False, 502, b""),
    ]
    fleet.plain_engine.started_requests = ["r1", "r3", "r3"]
    load.accepted_batches = {"b1"}
    load.refused_batches = {"b2"}
    load.results_by_batch["b1"] = {
        position: {
            "id": f"b1item-{position}",
            "state": "completed",
            "text": fleet.engines[0].item_text(f"b1item-{position}"),
            "versions": [1],
        }
        for position in range(ITEMS_PER_BATCH)
    }
    fleet.engines[0].started_requests = ["b1item-0"]
    fleet.engines[0].accepted_orders = [("k2", 2, 3)]
    return load


def test_correct_run_has_no_violations(fleet, load):
    assert find_violations(fleet, load, []) == []


def plant_calls(fleet, *calls):
    fleet.platform.duty_calls.calls += itertools.starmap(DutyCall, calls)


def test_call_under_way_when_its_sender_was_paused_is_allowed(fleet, load):
    plant_calls(fleet, (0.0, "k1", 1), (5.0, "k2", 2), (6.2, "k1", 1))
    assert find_violations(fleet, load, [("k1", 6.0)]) == []
    assert len(find_violations(fleet, load, [("k1", 5.5)])) == 1


def _change_result(load, **fields):
    load.results_by_batch["b1"][0].update(fields)


def _plant_late_request(fleet, load):
    """A request that came 2.1 s after an answer that says leaving."""
    start = fleet.plain_engine.start_name
    fleet.plain_engine.requests_by_start[start] = {"told", "late"}
    load.passed_answers += [
        PassedAnswer("told", "gateway-0", start, True, 9.9, 10.0, 200),
        PassedAnswer("late", "gateway-0", start, False, 12.1, 12.2, 200),
    ]


def test_request_to_a_leaving_engine_may_be_excused(fleet, load):
    _plant_late_request(fleet, load)
    restarted = [("gateway-0", 11.0)]
    assert find_violations(fleet, load, [], restarted) == []
    for other in (("gateway-1", 11.0), ("gateway-0", 9.95)):
        assert len(find_violations(fleet, load, [], [other])) == 1


def _plant_stream(load, *events):
    client = StreamClient(None, "s1", None)
    client.events = list(events)
    load.streams.append(client)


@pytest.mark.parametrize(
    ("plant", "expected_text"),
    [
        (
            lambda f, _: f.plain_engine.started_requests.append("r1"),
            "at most once",
        ),
        (
            lambda f, _: f.plain_engine.started_requests.append("r2"),
            "reported as not run",
        ),
        (
            lambda _, load: load.call_results.append(
                CallResult("r4", False, 200, b"r1")
            ),
            "another request's response",
        ),
        (
            lambda _, load: _change_result(
                load, **load.results_by_batch["b1"][1]
            ),
            "two positions",
        ),
        (lambda _, load: load.results_by_batch["b1"].pop(2), "5 of 6"),
        (lambda _, load: _change_result(load, state="lost"), "lost"),
        (lambda _, load: _change_result(load, text="cut"), "unexpected text"),
        (
            lambda _, load: _plant_stream(load, "s1 1 old", "s1 2 new"),
            "two software versions",
        ),
        (
            lambda _, load: _plant_stream(load, "s1 1 old", "s1 3 old"),
            "missing or stands twice",
        ),
        (
            lambda _, load: _change_result(load, versions=[]),
            "no weight version",
        ),
        (
            lambda f, _: f.engines[1].started_requests.append("b2item-1"),
            "refused",
        ),
        (
            lambda f, _: f.platform.reports.append((1, {"a": 2}, "k1", 1)),
            "different counts",
        ),
        (
            lambda f, _: f.platform.reports.append((3, {}, "k3", 2)),
            "two holders",
        ),
        (
            lambda f, _: f.engines[1].accepted_orders.append(("k1", 2, 3)),
            "two holders",
        ),
        (lambda _, load: load.conflicts.append("position 1"), "position 1"),
        (_plant_late_request, "knew that it leaves"),
        (
            lambda f, _: plant_calls(f, (0.0, "k1", 2), (9.0, "k2", 1)),
            "arrived after fencing token 2",
        ),
        (
            lambda f, _: plant_calls(
                f, (0.0, "k1", 1), (1.0, "k2", 2), (2.9, "k1", 3)
            ),
            "in turn with k2",
        ),
    ],
)
def test_planted_violation_is_found(fleet, load, plant, expected_text):
    plant(fleet, load)
    found = find_violations(fleet, load, [])
    assert len(found) == 1
    assert expected_text in found[0]


def test_position_that_is_no_longer_readable_is_a_conflict():
    # Guards against a soak test that does not detect a result that was read
    # once and is then gone.
    class ForgetfulFleet:
        """A fleet that lists one result and loses it after a while."""

        gateways = (None,)

        async def call(self, gateway, method, path, *_):
            await asyncio.sleep(0.01)
            is_listed = asyncio.get_running_loop().time() < forgets_at
            after = int(path.rpartition("=")[2])
            results = [{"id": "a"}][after:] if is_listed else []
            return 200, orjson.dumps({"results": results})

    async def read():
        nonlocal forgets_at
        load = LoadGenerator(ForgetfulFleet(), 1)
        now = asyncio.get_running_loop().time()
        forgets_at = now + 0.2
        read_task = asyncio.create_task(load.read_results("b", now + 3.0))
        while not load.conflicts and not read_task.done():
            await asyncio.sleep(0.05)
        read_task.cancel()
        return load.conflicts, asyncio.get_running_loop().time() - now

    forgets_at = 0.0
    conflicts, elapsed_s = asyncio.run(read())
    assert conflicts[0] == "b: position 0 is no longer readable"
    assert elapsed_s > VISIBILITY_BOUND_S

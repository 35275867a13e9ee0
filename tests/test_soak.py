"""The soak: a short seeded run, and each check against a planted fault."""

import asyncio
import types

import orjson
import pytest
from shallotstand.standins.fleet_engine import FleetEngine

from soak.checks import violations
from soak.load import ITEMS, SETTLE_S, Load, Told
from soak.run import run
from soak.schedule import draw

# Seeds that failed once, with their causes.
REGRESSIONS = {
    366347: "a waiting item was not told that peers had left their slots",
}


def test_short_run_keeps_every_promise(tmp_path):
    outcome = asyncio.run(run(7, 8.0, tmp_path))
    assert outcome.violations == []
    assert outcome.batches > 0
    assert outcome.answered > 0


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_seed_that_failed_once_keeps_every_promise(tmp_path, seed):
    assert asyncio.run(run(seed, 15.0, tmp_path)).violations == []


def test_seed_replays_the_same_schedule():
    assert draw(3, 20.0, 5) == draw(3, 20.0, 5)
    assert draw(3, 20.0, 5) != draw(4, 20.0, 5)


@pytest.fixture
def fleet():
    return types.SimpleNamespace(
        plain=FleetEngine("p1"),
        engines=[FleetEngine("e1"), FleetEngine("e2")],
        platform=types.SimpleNamespace(
            reports=[(1, {"a": 1}, "k1", 1), (2, {}, "k2", 2)]
        ),
    )


@pytest.fixture
def load(fleet):
    load = Load(fleet, 1)
    load.told = [
        Told("r1", True, 200, b"r1"),
        Told("r2", True, 503, b""),
        Told("r3", False, 502, b""),
    ]
    fleet.plain.runs = ["r1", "r3", "r3"]
    load.accepted = {"b1"}
    load.refused = {"b2"}
    load.results_by_batch["b1"] = {
        position: {
            "id": f"b1item-{position}",
            "state": "completed",
            "text": fleet.engines[0].text(f"b1item-{position}"),
            "versions": [1],
        }
        for position in range(ITEMS)
    }
    fleet.engines[0].runs = ["b1item-0"]
    fleet.engines[0].orders = [("k2", 2, 3)]
    return load


def test_kept_promises_are_no_violations(fleet, load):
    assert violations(fleet, load) == []


def _result(load, **fields):
    load.results_by_batch["b1"][0].update(fields)


@pytest.mark.parametrize(
    ("plant", "said"),
    [
        (lambda f, _: f.plain.runs.append("r1"), "may run once"),
        (lambda f, _: f.plain.runs.append("r2"), "not to have run"),
        (
            lambda _, load: load.told.append(Told("r4", False, 200, b"r1")),
            "another request's answer",
        ),
        (
            lambda _, load: _result(load, **load.results_by_batch["b1"][1]),
            "two positions",
        ),
        (lambda _, load: load.results_by_batch["b1"].pop(2), "5 of 6"),
        (lambda _, load: _result(load, state="lost"), "lost"),
        (lambda _, load: _result(load, text="cut"), "another text"),
        (lambda _, load: _result(load, versions=[]), "no version"),
        (lambda f, _: f.engines[1].runs.append("b2item-1"), "refused"),
        (
            lambda f, _: f.platform.reports.append((1, {"a": 2}, "k1", 1)),
            "two figures",
        ),
        (
            lambda f, _: f.platform.reports.append((3, {}, "k3", 2)),
            "two holders",
        ),
        (
            lambda f, _: f.engines[1].orders.append(("k1", 2, 3)),
            "two holders",
        ),
        (lambda _, load: load.conflicts.append("position 1"), "position 1"),
    ],
)
def test_planted_fault_is_caught(fleet, load, plant, said):
    plant(fleet, load)
    found = violations(fleet, load)
    assert len(found) == 1
    assert said in found[0]


def test_position_that_is_not_readable_any_more_is_a_conflict():
    # What broke LOST on a grown deployment was not noticed by the soak.
    class Forgetful:
        """A fleet that lists one result and forgets it after a while."""

        gateways = (None,)

        async def call(self, gateway, method, path, *_):
            await asyncio.sleep(0.01)
            known = asyncio.get_running_loop().time() < forgets_at
            after = int(path.rpartition("=")[2])
            results = [{"id": "a"}][after:] if known else []
            return 200, orjson.dumps({"results": results})

    async def read():
        nonlocal forgets_at
        load = Load(Forgetful(), 1)
        now = asyncio.get_running_loop().time()
        forgets_at = now + 0.2
        reading = asyncio.create_task(load.read_on("b", now + 3.0))
        while not load.conflicts and not reading.done():
            await asyncio.sleep(0.05)
        reading.cancel()
        return load.conflicts, asyncio.get_running_loop().time() - now

    forgets_at = 0.0
    conflicts, after_s = asyncio.run(read())
    assert conflicts[0] == "b: nothing at 0 any more"
    assert after_s > SETTLE_S

"""The lease holder updates engines to published versions, a few at a time."""

import asyncio
import collections

from shallotstand.duties.weight_updates import OrderOutcome


def run_updater(updater, scenario):
    async def start():
        task = asyncio.create_task(updater.run())
        try:
            await asyncio.wait_for(scenario(), 5)
        finally:
            task.cancel()

    asyncio.run(start())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def count_engines_with_version(engines, model, version):
    return sum(
        versions.get(model) == version
        for versions in engines.versions_by_engine.values()
    )


def test_single_model_is_loaded_on_every_engine_two_at_a_time(updater_setup):
    updater, engines, _ = updater_setup

    async def scenario():
        for number in range(5):
            engines.add(f"e{number}", model=1)
        updater.receive_version("model", 2)
        await wait_until(
            lambda: count_engines_with_version(engines, "model", 2) == 5
        )
        assert engines.max_concurrent_loads <= 2
        assert len(engines.sent_orders) == 5

    run_updater(updater, scenario)


def test_models_share_the_engines(updater_setup):
    # Engines register one after the other. Models that were assigned to the
    # first engines must move to later ones; otherwise those stay unused, and
    # items wait seconds for a slot.
    updater, engines, _ = updater_setup
    models = ("m1", "m2", "m3")

    async def scenario():
        for number in range(5):
            engines.add(f"e{number}", **dict.fromkeys(models, 1))
            await asyncio.sleep(0.03)
        for model in models:
            updater.receive_version(model, 2)
        await wait_until(
            lambda: all(
                count_engines_with_version(engines, model, 2) == 2
                for model in models
            )
        )
        loads = collections.Counter(name for name, _ in engines.sent_orders)
        assert max(loads.values()) <= 2

    run_updater(updater, scenario)


def test_removed_engine_is_replaced(updater_setup):
    updater, engines, _ = updater_setup

    async def scenario():
        for number in range(4):
            engines.add(f"e{number}", m1=1, m2=1)
        updater.receive_version("m1", 2)
        await wait_until(
            lambda: count_engines_with_version(engines, "m1", 2) == 2
        )
        removed_engine = engines.sent_orders[0][0]
        engines.endpoint_registry.remove(removed_engine)
        del engines.versions_by_engine[removed_engine]
        await wait_until(
            lambda: count_engines_with_version(engines, "m1", 2) == 2
        )

    run_updater(updater, scenario)


def test_order_without_a_response_is_repeated_with_the_same_order_count(
    updater_setup,
):
    updater, engines, _ = updater_setup

    async def scenario():
        engines.add("e0", model=1)
        engines.lost_orders = 1
        updater.receive_version("model", 2)
        await wait_until(
            lambda: count_engines_with_version(engines, "model", 2) == 1
        )
        assert [order.expected_orders for _, order in engines.sent_orders] == [
            0,
            0,
        ]
        assert {order.fencing_token for _, order in engines.sent_orders} == {7}

    run_updater(updater, scenario)


def test_holder_that_is_fenced_off_stops(updater_setup):
    updater, engines, lease = updater_setup

    async def scenario():
        engines.outcome = OrderOutcome.FENCED_OFF
        engines.add("e0", model=1)
        updater.receive_version("model", 2)
        await wait_until(lambda: lease.step_down_reason)
        await asyncio.sleep(0.1)
        assert len(engines.sent_orders) == 1

    run_updater(updater, scenario)


def test_no_orders_are_sent_without_the_lease(updater_setup):
    updater, engines, lease = updater_setup

    async def scenario():
        lease.is_held = False
        engines.add("e0", model=1)
        updater.receive_version("model", 2)
        await asyncio.sleep(0.1)
        assert engines.sent_orders == []

    run_updater(updater, scenario)


def test_older_version_is_not_loaded(updater_setup):
    updater, engines, _ = updater_setup

    async def scenario():
        engines.add("e0", model=3)
        updater.receive_version("model", 2)
        await asyncio.sleep(0.1)
        assert engines.sent_orders == []

    run_updater(updater, scenario)


def test_engines_that_the_starting_step_can_use_load_a_little_later(
    updater_setup, monkeypatch
):
    # Pattern: a step is submitted as its version is published. Guards against
    # items that wait for engines that load, although the version before is
    # good enough for the step; an engine without that version loads at once.
    updater, engines, _ = updater_setup
    monkeypatch.setattr(
        "shallotstand.duties.weight_updates.STEP_START_DELAY_S", 1.0
    )

    async def scenario():
        for number, version in enumerate((2, 2, 2, 1)):
            engines.add(f"e{number}", model=version)
        updater.receive_version("model", 3)
        await wait_until(lambda: engines.sent_orders)
        assert [name for name, _ in engines.sent_orders] == ["e3"]
        await wait_until(
            lambda: count_engines_with_version(engines, "model", 3) == 4
        )

    run_updater(updater, scenario)

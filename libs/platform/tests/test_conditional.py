"""Lost and late writes must never be taken for the opposite outcome."""

import asyncio
import random

import orjson
import pytest
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.conditional import (
    Backoff,
    Written,
    create_once,
    update_object,
)
from shallotstand.standins.object_store import StandinObjectStore, StoreFaults

FAST = Backoff(attempts=4, first_s=0.0001, longest_s=0.001)


def increment(value):
    return {"count": (value or {"count": 0})["count"] + 1}


async def update(store, change=increment, **options):
    return await update_object(store, "a", change, backoff=FAST, **options)


class Scripted(StandinObjectStore):
    """Runs a coroutine after each put that is named by its number."""

    def __init__(self, after_put):
        super().__init__()
        self.after_put = after_put

    async def put(self, key, value, expected_version):
        result = await super().put(key, value, expected_version)
        action = self.after_put.pop(self.calls["put"], None)
        return result if action is None else await action(self, result)


async def lose(store, _):
    return Failure(ResultCode.STORE_UNAVAILABLE, "lost")


def lose_then_others(number):
    async def act(store, _):
        for _ in range(number):
            await update(store)
        return await lose(store, _)

    return act


async def deliver_and_lose(store, _):
    await store.deliver_late()
    return await lose(store, _)


def count(store):
    return orjson.loads(store.history[-1].value)["count"]


def test_lost_answer_is_recognized_by_own_write_id():
    async def run():
        store = Scripted({1: lose})
        assert await update(store) == Written(1, {"count": 1})
        assert count(store) == 1

    asyncio.run(run())


def test_own_write_is_recognized_behind_other_writers():
    async def run():
        store = Scripted({1: lose_then_others(7)})
        result = await update(store)
        assert result == Written(8, {"count": 1}, is_latest=False)

    asyncio.run(run())


@pytest.mark.parametrize("created", [False, True])
def test_too_short_list_is_an_unknown_outcome(created):
    async def run():
        store = Scripted({1 + created: lose_then_others(8)})
        if created:
            await update(store)
        result = await update(store)
        assert result.code == ResultCode.OUTCOME_UNKNOWN

    asyncio.run(run())


@pytest.mark.parametrize("retry", [False, True])
def test_foreign_write_after_a_lost_write_is_a_conflict(retry):
    async def run():
        async def act(store, _):
            await update(store)
            return await lose(store, _)

        store = Scripted({1: act})
        store.faults = StoreFaults(late_writes=1)
        result = await update(store, retry_conflicts=retry)
        await store.deliver_late()  # must not take effect any more
        if retry:
            assert result.value == {"count": 2}
        else:
            assert result.code == ResultCode.VERSION_CONFLICT
        assert count(store) == 1 + retry

    asyncio.run(run())


def test_write_that_seemed_lost_takes_effect_before_the_repeat():
    async def run():
        store = Scripted({1: deliver_and_lose})
        store.faults = StoreFaults(late_writes=1)
        assert await update(store) == Written(1, {"count": 1})
        assert len(store.history) == 1

    asyncio.run(run())


def test_write_that_seemed_lost_arrives_after_the_repeat():
    async def run():
        store = StandinObjectStore()
        store.faults = StoreFaults(late_writes=1)
        assert await update(store) == Written(1, {"count": 1})
        await store.deliver_late()
        assert len(store.history) == 1

    asyncio.run(run())


def test_store_down_before_and_during_the_write():
    async def run():
        store = StandinObjectStore()
        store.faults = StoreFaults(down=True)
        assert (await update(store)).code == ResultCode.STORE_UNAVAILABLE
        store.faults = StoreFaults(late_writes=99)
        assert (await update(store)).code == ResultCode.OUTCOME_UNKNOWN
        assert store.calls["put"] == FAST.attempts

    asyncio.run(run())


def test_concurrent_writers_with_lost_answers_count_every_success():
    async def run():
        store = StandinObjectStore(seed=3)
        store.faults = StoreFaults(lost_answers=0.3)
        backoff = Backoff(40, 0.0001, 0.001, random.Random(3))
        results = await asyncio.gather(
            *(
                update_object(
                    store, "a", increment, retry_conflicts=True, backoff=backoff
                )
                for _ in range(20)
            )
        )
        done = sum(isinstance(result, Written) for result in results)
        unknown = sum(isinstance(result, Failure) for result in results)
        assert done <= count(store) <= done + unknown
        assert done >= 15

    asyncio.run(run())


def test_same_bytes_may_be_created_twice_and_others_not():
    async def run():
        store = Scripted({1: lose})
        assert await create_once(store, "m", b"1", FAST) == 1
        assert await create_once(store, "m", b"1", FAST) == 1
        other = await create_once(store, "m", b"2", FAST)
        assert other.code == ResultCode.VERSION_CONFLICT

    asyncio.run(run())

"""The lease has one holder at a time, each with a new fencing token."""

import asyncio

from shallotstand.core.clock import ManualClock
from shallotstand.duties.lease import (
    LEASE_DURATION_S,
    TAKEOVER_DELAY_S,
    DutyLease,
)
from shallotstand.standins.memory_documents import MemoryDocuments

from .conftest import InstanceStore, WriteFault

TURN_INTERVAL_S = 3.0


class Fleet:
    """The leases of keepers on several instances, with a common clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryDocuments()
        self.late_writes = []
        self.start_count = 0

    def lease(self, instance, store=None):
        self.start_count += 1
        return DutyLease(
            store or self.store,
            f"{instance}.{self.start_count}",
            instance,
            TURN_INTERVAL_S,
            self.clock,
        )

    def instance_store(self):
        """Returns a store that can fail for one instance alone."""
        return InstanceStore(self.store, self.late_writes)

    async def carry_out_late_writes(self):
        while self.late_writes:
            write, arguments = self.late_writes.pop()
            await write(*arguments)

    async def seconds_with_two_callers(self, first, second):
        """Returns for how long both may call until the second one may."""
        together_s, waited_s = 0.0, 0.0
        while not second.call_budget_s:
            assert waited_s < 20.0
            self.clock.advance(0.1)
            waited_s += 0.1
            await second.step()
            if first.call_budget_s and second.call_budget_s:
                together_s += 0.1
        while first.call_budget_s:
            self.clock.advance(0.1)
            together_s += 0.1
        return together_s

    async def pass_time(self, seconds, *leases):
        """Advances the clock and steps the leases every half second."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            for lease in leases:
                await lease.step()


def run(scenario):
    asyncio.run(scenario(Fleet()))


def test_only_one_of_several_acquires_the_lease():
    async def scenario(fleet):
        leases = [fleet.lease(f"n{number}") for number in range(3)]
        await asyncio.gather(*(lease.step() for lease in leases))
        await fleet.pass_time(10, *leases)
        assert sum(lease.is_held for lease in leases) == 1

    run(scenario)


def test_silent_holder_is_replaced_after_its_lease_has_ended():
    async def scenario(fleet):
        first, second = fleet.lease("a"), fleet.lease("b")
        await first.step()
        await second.step()
        held_together = 0.0
        while not second.is_held:
            # The clock starts at 1000 s, so this allows 20 s.
            assert fleet.clock.monotonic() < 1020
            fleet.clock.advance(0.1)
            await second.step()
            if first.is_held and second.is_held:
                held_together += 0.1
        assert held_together == 0.0
        assert second.fencing_token > first.fencing_token
        assert TAKEOVER_DELAY_S > LEASE_DURATION_S

    run(scenario)


def test_paused_holder_does_not_regain_the_lease():
    async def scenario(fleet):
        first, second = fleet.lease("a"), fleet.lease("b")
        await first.step()
        await fleet.pass_time(8, second)
        assert second.is_held and not first.is_held
        await fleet.pass_time(3, first, second)
        assert second.is_held and not first.is_held

    run(scenario)


def test_restarted_process_of_an_instance_takes_over_at_once():
    async def scenario(fleet):
        first, standby = fleet.lease("a"), fleet.lease("b")
        await first.step()
        await standby.step()
        restarted = fleet.lease("a")
        await restarted.step()
        assert restarted.is_held
        assert restarted.fencing_token == first.fencing_token + 1

    run(scenario)


def test_resigned_lease_is_acquired_at_once_by_another_process():
    async def scenario(fleet):
        first, second = fleet.lease("a"), fleet.lease("b")
        await first.step()
        await first.resign()
        await first.step()
        await second.step()
        assert second.is_held and not first.is_held

    run(scenario)


def test_holder_may_acquire_the_lease_again_after_an_outage():
    async def scenario(fleet):
        first = fleet.lease("a")
        await first.step()
        fleet.store.set_down(True)
        await fleet.pass_time(5, first)
        assert not first.is_held
        fence = first.fencing_token
        fleet.store.set_down(False)
        await fleet.pass_time(6, first)
        assert first.is_held and first.fencing_token > fence

    run(scenario)


def test_renewal_without_a_response_is_read_back():
    async def scenario(fleet):
        first = fleet.lease("a")
        await first.step()
        fleet.store.lost_answers = 1
        await fleet.pass_time(1, first)
        await fleet.pass_time(3, first)
        assert first.is_held

    run(scenario)


def test_fenced_off_holder_waits_before_it_acquires_the_lease_again():
    async def scenario(fleet):
        first = fleet.lease("a")
        await first.step()
        first.step_down("an engine saw a higher fencing token")
        assert not first.is_held
        await fleet.pass_time(1, first)
        assert not first.is_held

    run(scenario)


def test_renewal_without_effect_does_not_extend_the_lease():
    # Guards against two holders: the standby counts from the last renewal in
    # the store, not from one that never took effect.
    async def scenario(fleet):
        store = fleet.instance_store()
        first, second = fleet.lease("a", store), fleet.lease("b")
        await first.step()
        await second.step()
        fleet.clock.advance(1.3)
        store.write_faults = [WriteFault.DROPPED]
        await first.step()
        store.is_turned_away = True
        assert await fleet.seconds_with_two_callers(first, second) == 0.0

    run(scenario)


def test_renewal_that_took_effect_early_extends_the_lease_from_then():
    # Guards against two holders: a repeated renewal that fails because the
    # first one was carried out late is not newer than that one.
    async def scenario(fleet):
        store = fleet.instance_store()
        first, second = fleet.lease("a", store), fleet.lease("b")
        await first.step()
        fleet.clock.advance(1.3)
        store.write_faults = [WriteFault.LATE]
        await first.step()
        await fleet.carry_out_late_writes()
        await second.step()
        fleet.clock.advance(1.3)
        await first.step()
        store.is_turned_away = True
        assert await fleet.seconds_with_two_callers(first, second) == 0.0

    run(scenario)


def test_instances_that_resign_in_turn_do_not_alternate():
    # Guards against calls of a, b and a again within the turn interval.
    async def scenario(fleet):
        first, second = fleet.lease("a"), fleet.lease("b")
        await first.step()
        await first.resign()
        await second.step()
        assert second.is_held
        await second.resign()
        restarted, other = fleet.lease("a"), fleet.lease("c")
        await restarted.step()
        assert not restarted.is_held
        await other.step()
        assert other.is_held
        await other.resign()
        await restarted.step()
        fleet.clock.advance(TURN_INTERVAL_S)
        await restarted.step()
        assert restarted.is_held

    run(scenario)


def test_calls_end_before_a_standby_may_take_over():
    # Guards against a call that is sent in time and arrives after the first
    # call of the next holder.
    async def scenario(fleet):
        first, second = fleet.lease("a"), fleet.lease("b")
        await first.step()
        await second.step()
        budget_s = first.call_budget_s
        assert 0 < budget_s < LEASE_DURATION_S
        fleet.clock.advance(budget_s)
        await second.step()
        assert not first.call_budget_s and not second.is_held

    run(scenario)

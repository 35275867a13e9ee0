"""The order of calls under the lease, where no receiver checks the token.

Random freezes, restarts, stops and faults of the store. A simple oracle sees
the calls in the order of their arrival: fencing tokens never decrease, and two
instances never act by turns within the turn interval.
"""

import asyncio
import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from shallotstand.core.clock import ManualClock
from shallotstand.duties.lease import DutyLease
from shallotstand.standins.memory_documents import MemoryDocuments

from .conftest import InstanceStore, WriteFault

INSTANCES = ("a", "b", "c")
TURN_INTERVAL_S = 3.0
TICK_S = 0.1
INSTANCE = st.sampled_from(INSTANCES)
# Seconds until a process that was killed or stopped runs again.
DOWNTIME = st.sampled_from((0.0, 0.5, 2.0))


class Keeper:
    """One process and the time at which it acts next."""

    def __init__(self, lease, now):
        self.lease = lease
        self.next_step_at = now
        self.frozen_until = 0.0


class LeaseMachine(RuleBasedStateMachine):
    """Three instances that act whenever they believe they may."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.documents = MemoryDocuments()
        self.late_writes = []
        self.stores_by_instance = {
            name: InstanceStore(self.documents, self.late_writes)
            for name in INSTANCES
        }
        self.process_numbers = itertools.count()
        self.keepers_by_instance = {
            name: self.new_keeper(name) for name in INSTANCES
        }
        self.calls_under_way = []
        self.arrived = []

    def teardown(self):
        self.loop.close()

    def new_keeper(self, instance):
        lease = DutyLease(
            self.stores_by_instance[instance],
            f"{instance}.{next(self.process_numbers)}",
            instance,
            TURN_INTERVAL_S,
            self.clock,
        )
        return Keeper(lease, self.clock.monotonic())

    def step(self, instance, keeper, transit_share):
        now = self.clock.monotonic()
        if keeper.frozen_until > now:
            return
        # Processes act before they renew: that is when they know least.
        budget_s = keeper.lease.call_budget_s
        if budget_s > 0:
            self.calls_under_way.append(
                (
                    now + budget_s * transit_share,
                    instance,
                    keeper.lease.fencing_token,
                )
            )
        if keeper.next_step_at <= now:
            pause_s = self.loop.run_until_complete(keeper.lease.step())
            keeper.next_step_at = now + pause_s

    @rule(
        ticks=st.integers(1, 30),
        transit_share=st.sampled_from((0.0, 0.02, 0.9)),
    )
    def pass_time(self, ticks, transit_share):
        for _ in range(ticks):
            self.clock.advance(TICK_S)
            for instance, keeper in self.keepers_by_instance.items():
                self.step(instance, keeper, transit_share)
            self.deliver()

    def deliver(self):
        now = self.clock.monotonic()
        due = [call for call in self.calls_under_way if call[0] <= now]
        self.calls_under_way = [
            call for call in self.calls_under_way if call[0] > now
        ]
        self.arrived += sorted(due, key=lambda call: call[0])

    @rule(instance=INSTANCE, for_s=st.sampled_from((1.0, 4.0, 6.0)))
    def freeze(self, instance, for_s):
        keeper = self.keepers_by_instance[instance]
        keeper.frozen_until = self.clock.monotonic() + for_s

    @rule(instance=INSTANCE, down_s=DOWNTIME)
    def kill(self, instance, down_s):
        self.reset_connections(instance)
        self.restart(instance, down_s)

    def restart(self, instance, down_s):
        keeper = self.new_keeper(instance)
        keeper.frozen_until = self.clock.monotonic() + down_s
        self.keepers_by_instance[instance] = keeper

    def reset_connections(self, instance):
        """Drops what has not arrived, as the end of a process does."""
        self.calls_under_way = [
            call for call in self.calls_under_way if call[1] != instance
        ]

    @rule(instance=INSTANCE, down_s=DOWNTIME)
    def stop(self, instance, down_s):
        keeper = self.keepers_by_instance[instance]
        if keeper.frozen_until <= self.clock.monotonic():
            self.reset_connections(instance)
            self.loop.run_until_complete(keeper.lease.resign())
            self.restart(instance, down_s)

    @rule(down_s=DOWNTIME)
    def stop_holder(self, down_s):
        for instance in self.holders():
            self.stop(instance, down_s)

    @rule(
        faults=st.lists(st.sampled_from(WriteFault), min_size=1, max_size=3),
        ticks=st.integers(1, 30),
    )
    def turn_holder_away_after_failed_renewals(self, faults, ticks):
        for instance in self.holders():
            self.fail_writes(instance, faults)
            self.pass_time(ticks, 0.0)
            self.stores_by_instance[instance].is_turned_away = True

    def holders(self):
        return [
            instance
            for instance, keeper in self.keepers_by_instance.items()
            if keeper.lease.is_held
        ]

    @rule(
        instance=INSTANCE,
        faults=st.lists(st.sampled_from(WriteFault), min_size=1, max_size=3),
    )
    def fail_writes(self, instance, faults):
        self.stores_by_instance[instance].write_faults = faults

    @rule(instance=INSTANCE)
    def toggle_store_access(self, instance):
        store = self.stores_by_instance[instance]
        store.is_turned_away = not store.is_turned_away

    @precondition(lambda self: self.late_writes)
    @rule()
    def carry_out_late_write(self):
        write, arguments = self.late_writes.pop(0)
        self.loop.run_until_complete(write(*arguments))

    @invariant()
    def fencing_tokens_never_decrease(self):
        tokens = [token for _, _, token in self.arrived]
        assert tokens == sorted(tokens)

    @invariant()
    def instances_do_not_alternate(self):
        last_arrivals = {}
        previous = None
        for at, instance, _ in self.arrived:
            if previous not in (None, instance) and instance in last_arrivals:
                pause_s = at - last_arrivals[instance]
                assert pause_s >= TURN_INTERVAL_S, (instance, previous, at)
            last_arrivals[instance] = at
            previous = instance


LeaseMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestCallsUnderTheLease = LeaseMachine.TestCase

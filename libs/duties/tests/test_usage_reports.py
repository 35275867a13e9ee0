"""Each window has one report, whose counts never change."""

import asyncio
import time

from shallotstand.core.clock import ManualClock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.usage import UsageMeter
from shallotstand.duties.usage_counts import COUNTS_KIND, UsageWriter
from shallotstand.duties.usage_reports import MAX_REPORT_DELAY_S, UsageReporter
from shallotstand.standins.memory_documents import MemoryDocuments

from .conftest import FakeLease

WINDOW_S = 5.0


class FakeSink:
    """Records all reports that it receives."""

    def __init__(self):
        self.sent = []
        self.failure = None

    async def send_report(self, window, counts, fencing_token, budget_s):
        assert budget_s > 0
        self.sent.append((window, dict(counts), fencing_token))
        return self.failure

    def counts_by_window(self):
        counts_by_window = {}
        for window, counts, _ in self.sent:
            counts_by_window.setdefault(window, []).append(counts)
        return counts_by_window


class ReportingSystem:
    """Two gateways that count requests, and a keeper that sends reports."""

    def __init__(self):
        self.clock = ManualClock(wall=1_800_000_000.0)
        self.store = MemoryDocuments()
        self.sink = FakeSink()
        self.meters = [UsageMeter(WINDOW_S, self.clock) for _ in range(2)]
        self.writers = [
            UsageWriter(self.store, meter, f"gateway-{n}", self.clock)
            for n, meter in enumerate(self.meters)
        ]
        self.lease = FakeLease()
        self.reporter = self.new_reporter()

    def new_reporter(self):
        return UsageReporter(
            self.store, self.sink, self.lease, WINDOW_S, self.clock
        )

    async def settle(self):
        """Steps the reporter until it has caught up with the clock."""
        for _ in range(4):
            await self.reporter.step()

    async def close_window(self, *writers):
        window = self.meters[0].current_window()
        self.clock.advance(WINDOW_S)
        for writer in writers or self.writers:
            await writer.write(window)
        self.clock.advance(1.7)
        return window


def run(scenario):
    async def start():
        system = ReportingSystem()
        await system.settle()
        await scenario(system)

    asyncio.run(start())


def test_counts_of_all_processes_are_summed():
    async def scenario(system):
        system.meters[0].count_request("a", 0.0)
        system.meters[1].count_request("a", 0.0)
        system.meters[1].count_request("b", 0.0)
        window = await system.close_window()
        await system.settle()
        assert system.sink.sent[-1] == (window, {"a": 2, "b": 1}, 7)

    run(scenario)


def test_request_is_counted_in_the_window_in_which_it_began():
    async def scenario(system):
        window = system.meters[0].current_window()
        system.clock.advance(WINDOW_S + 0.1)
        system.meters[0].count_request("a", 0.3)
        for writer in system.writers:
            await writer.write(window)
        system.clock.advance(1.7)
        await system.settle()
        assert system.sink.counts_by_window()[window] == [{"a": 1}]

    run(scenario)


def test_report_waits_for_missing_counts_up_to_a_limit():
    async def scenario(system):
        await system.close_window()
        await system.reporter.step()
        window = await system.close_window(system.writers[0])
        await system.reporter.step()
        assert window not in system.sink.counts_by_window()
        system.clock.advance(MAX_REPORT_DELAY_S)
        await system.reporter.step()
        assert window in system.sink.counts_by_window()

    run(scenario)


def test_new_holder_sends_the_stored_report_again():
    async def scenario(system):
        await system.close_window()
        await system.settle()
        system.meters[0].count_request("a", 0.0)
        system.sink.failure = Failure(ResultCode.OUTCOME_UNKNOWN, "lost")
        window = await system.close_window()
        await system.reporter.step()
        # Counts that arrive late don't change the stored report.
        system.meters[1].count_request("a", WINDOW_S)
        await system.writers[1].write(window + 1)
        system.sink.failure = None
        system.lease.fencing_token = 8
        await system.new_reporter().step()
        assert system.sink.counts_by_window()[window] == [{"a": 1}, {"a": 1}]

    run(scenario)


def test_two_holders_never_store_different_reports():
    async def scenario(system):
        window = await system.close_window()
        other = system.new_reporter()
        await other.step()
        system.meters[0].count_request("a", 0.0)
        await system.writers[0].write(window)
        await system.settle()
        assert len(system.sink.counts_by_window()[window]) >= 1
        reports = system.sink.counts_by_window()[window]
        assert all(counts == reports[0] for counts in reports)

    run(scenario)


def test_fenced_off_reporter_steps_down():
    async def scenario(system):
        system.sink.failure = Failure(
            ResultCode.STALE_EPOCH, "The receiver has seen a higher token."
        )
        await system.close_window()
        await system.reporter.step()
        assert system.lease.step_down_reason

    run(scenario)


def test_counts_are_written_again_after_a_lost_response():
    async def scenario(system):
        system.meters[0].count_request("a", 0.0)
        window = system.meters[0].current_window()
        system.store.lost_answers = 1
        first = await system.writers[0].write(window)
        assert first.code == ResultCode.OUTCOME_UNKNOWN
        assert await system.writers[0].write(window) is None

    run(scenario)


def test_windows_closed_before_the_first_ledger_are_reported():
    # Guards against requests that are never billed because gateways began to
    # serve before a keeper held the lease for the first time.
    async def scenario():
        system = ReportingSystem()
        system.meters[0].count_request("a", 0.0)
        first = await system.close_window()
        system.meters[1].count_request("b", 0.0)
        second = await system.close_window()
        await system.settle()
        assert system.sink.counts_by_window()[first] == [{"a": 1}]
        assert system.sink.counts_by_window()[second] == [{"b": 1}]

    asyncio.run(scenario())


def test_window_that_closed_just_before_the_first_ledger_is_reported():
    # Guards against requests that are never billed because the ledger was
    # created between the end of their window and the write of its counts.
    async def scenario():
        system = ReportingSystem()
        system.meters[0].count_request("a", 0.0)
        window = system.meters[0].current_window()
        system.clock.advance(WINDOW_S)
        await system.reporter.step()
        assert window not in system.sink.counts_by_window()
        for writer in system.writers:
            await writer.write(window)
        system.clock.advance(1.7)
        await system.settle()
        assert system.sink.counts_by_window()[window] == [{"a": 1}]

    asyncio.run(scenario())


def test_report_waits_for_the_first_counts_of_a_new_process():
    # Guards against a report without the requests of a process whose first
    # write is late, since the reporter has not heard of that process yet.
    async def scenario(system):
        for writer in system.writers:
            await writer.announce()
        system.meters[0].count_request("a", 0.0)
        system.meters[1].count_request("a", 0.0)
        window = await system.close_window(system.writers[0])
        await system.reporter.step()
        assert window not in system.sink.counts_by_window()
        await system.writers[1].write(window)
        await system.reporter.step()
        assert system.sink.counts_by_window()[window] == [{"a": 2}]

    run(scenario)


def test_start_of_a_process_does_not_hide_its_predecessors_counts():
    # Guards against an announcement that replaces counts in the store.
    async def scenario(system):
        system.meters[0].count_request("a", 0.0)
        window = system.meters[0].current_window()
        await system.writers[0].write(window)
        successor = UsageWriter(
            system.store,
            UsageMeter(WINDOW_S, system.clock),
            "gateway-0.2",
            system.clock,
        )
        await successor.announce()
        system.clock.advance(WINDOW_S + MAX_REPORT_DELAY_S)
        await system.settle()
        assert system.sink.counts_by_window()[window] == [{"a": 1}]

    run(scenario)


def test_report_is_not_sent_at_the_end_of_the_lease():
    # Guards against a report that arrives after the next holder's first one.
    async def scenario(system):
        system.meters[0].count_request("a", 0.0)
        window = await system.close_window()
        system.lease.call_budget_s = 0.0
        failure = await system.reporter.step()
        assert failure.code == ResultCode.LEASE_LAPSED
        assert window not in system.sink.counts_by_window()
        system.lease.call_budget_s = 1.0
        system.lease.fencing_token += 1
        await system.reporter.step()
        assert (window, {"a": 1}, 8) in system.sink.sent

    run(scenario)


class FastClock:
    """Wall-clock time that passes fifty times as fast as the system's."""

    def __init__(self):
        self._started = time.monotonic()

    def monotonic(self):
        return 50.0 * (time.monotonic() - self._started)

    def wall(self):
        return 1_800_000_000.0 + self.monotonic()


def test_idle_process_writes_nothing_until_it_counts_again(monkeypatch):
    # Pattern: many gateways that serve a request now and then. Guards against
    # a write of each of them in each window, and against a report that does
    # not wait for one that serves again after a pause.
    monkeypatch.setattr("shallotstand.duties.usage_counts.WRITE_DELAY_S", 0.0)

    async def scenario():
        clock, store = FastClock(), MemoryDocuments()
        meter = UsageMeter(1.0, clock)
        task = asyncio.create_task(
            UsageWriter(store, meter, "gateway-0", clock).run()
        )

        async def record():
            await asyncio.sleep(0.01)
            return (await store.get(COUNTS_KIND, "gateway-0")).spec

        await asyncio.sleep(0.1)
        assert not store.call_counts
        meter.count_request("a", 0.0)
        assert not (await record())["is_idle"]
        while not (await record())["is_idle"]:
            pass
        idle = await record()
        assert sum(c.get("a", 0) for c in idle["windows"].values()) == 1
        writes = store.call_counts["replace", COUNTS_KIND]
        await asyncio.sleep(0.2)
        assert store.call_counts["replace", COUNTS_KIND] == writes
        meter.count_request("a", 0.0)
        assert not (await record())["is_idle"]
        task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_report_does_not_wait_for_an_idle_process():
    async def scenario(system):
        first, second = system.writers
        window = await system.close_window()
        await second.write(window, is_idle=True)
        await system.settle()
        system.meters[0].count_request("a", 0.0)
        window = await system.close_window(first)
        await system.settle()
        assert system.sink.counts_by_window()[window] == [{"a": 1}]

    run(scenario)


def test_counts_are_written_again_after_their_document_was_deleted():
    # Guards against a process that is never heard of again because its counts
    # were deleted while it was idle.
    async def scenario(system):
        writer = system.writers[0]
        window = system.meters[0].current_window()
        assert await writer.write(window) is None
        await system.store.delete(COUNTS_KIND, "gateway-0")
        assert await writer.write(window) is None

    run(scenario)

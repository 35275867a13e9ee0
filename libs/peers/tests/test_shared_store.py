"""One process watches the store for its peers.

They watch it themselves if that process fails.
"""

import asyncio

from shallotstand.core.clock import SystemClock
from shallotstand.documents.watcher import DocumentWatcher
from shallotstand.peers.shared_store import SharedStore
from shallotstand.standins.memory_documents import MemoryDocuments

WAIT_S = 0.4


class Process:
    """A process that watches two kinds; `peers` receive its broadcasts."""

    def __init__(self, documents, is_watcher):
        clock = SystemClock()
        self.is_watcher = is_watcher
        self.peers = []
        self.received = []
        self.store = SharedStore(documents, clock, "probe", ("names",))
        self.store.set_peers(self)
        self.watchers = [
            DocumentWatcher(
                self.store,
                kind,
                self.received.append,
                clock,
                watch_timeout_s=WAIT_S,
            )
            for kind in ("probe", "names")
        ]
        self.tasks = []

    def is_preferred_owner(self, name):
        del name
        return self.is_watcher

    def broadcast(self, message):
        for peer in self.peers:
            peer.store.receive_changes(message)

    def start(self):
        self.tasks = [
            asyncio.create_task(watcher.run()) for watcher in self.watchers
        ]

    def received_names(self):
        return [change.document.name for change in self.received]


def run(scenario):
    async def start():
        documents = MemoryDocuments()
        watching_process = Process(documents, True)
        follower = Process(documents, False)
        watching_process.peers = [follower]
        for process in (watching_process, follower):
            process.start()
        for process in (watching_process, follower):
            for document_watcher in process.watchers:
                await document_watcher.wait_synced()
        try:
            async with asyncio.timeout(10):
                await scenario(documents, watching_process, follower)
        finally:
            for task in watching_process.tasks + follower.tasks:
                task.cancel()

    asyncio.run(start())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def wait_settled(documents):
    """Waits until only the watching process's watches reach the store."""
    await asyncio.sleep(WAIT_S * 2)
    documents.call_counts.clear()


def test_peers_receive_changes_without_calls_of_their_own():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        await documents.create("probe", "a", {"x": 1})
        await wait_until(lambda: "a" in follower.received_names())
        before = documents.call_counts["watch", "probe"]
        await asyncio.sleep(WAIT_S)
        # The watching process makes about two watches in this time, the
        # follower none.
        assert documents.call_counts["watch", "probe"] - before <= 2
        assert follower.received[-1].document.spec == {"x": 1}

    run(scenario)


def test_content_of_some_kinds_is_not_broadcast():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        await documents.create("names", "a", {"large": "content"})
        await wait_until(lambda: "a" in follower.received_names())
        assert follower.received[-1].document.spec is None
        assert watching_process.received[-1].document.spec == {
            "large": "content"
        }

    run(scenario)


def test_peers_watch_the_store_without_messages_from_the_watching_process():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        watching_process.peers = []
        await documents.create("probe", "a", {})
        started = asyncio.get_running_loop().time()
        await wait_until(lambda: "a" in follower.received_names())
        assert asyncio.get_running_loop().time() - started < WAIT_S

    run(scenario)


def test_removal_and_recreation_are_both_received():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        await documents.create("probe", "a", {})
        await documents.delete("probe", "a")
        await documents.create("probe", "a", {"again": True})
        await wait_until(
            lambda: follower.received and follower.received[-1].document.spec
        )
        assert not follower.received[-1].is_removed

    run(scenario)


def test_failed_call_is_followed_by_a_probe():
    # A process whose own calls to the store fail still receives changes from
    # its peers, and has to detect the failure.
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        probe_watcher = follower.watchers[0]
        # Unlike `set_down`, this does not wake waiting watches.
        documents.is_down = True
        started = asyncio.get_running_loop().time()
        await follower.store.create("probe", "b", {})
        await wait_until(lambda: probe_watcher.failing_since is not None)
        # The failure is detected before the current watch ends.
        assert asyncio.get_running_loop().time() - started < WAIT_S / 2
        documents.set_down(False)
        await wait_until(lambda: probe_watcher.failing_since is None)

    run(scenario)


def test_single_failed_call_is_not_an_outage():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        documents.is_down = True
        await follower.store.create("probe", "b", {})
        documents.is_down = False
        await asyncio.sleep(WAIT_S)
        assert all(
            document_watcher.failing_since is None
            for document_watcher in follower.watchers
        )
        await documents.create("names", "c", {})
        await wait_until(lambda: "c" in follower.received_names())

    run(scenario)


def test_only_the_probe_calls_the_store_in_an_outage():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        watching_process.peers = []
        watching_process.tasks[0].cancel()
        watching_process.tasks[1].cancel()
        documents.set_down(True)
        await wait_until(lambda: follower.watchers[0].failing_since is not None)
        documents.call_counts.clear()
        await asyncio.sleep(1.0)
        assert documents.call_counts["watch", "probe"] >= 1
        assert documents.call_counts["watch", "names"] <= 1
        documents.set_down(False)
        await documents.create("names", "late", {})
        await wait_until(lambda: "late" in follower.received_names())

    run(scenario)


def test_all_processes_list_documents_again_after_history_is_dropped():
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        await documents.create("probe", "a", {})
        documents.drop_history()
        await documents.create("probe", "b", {})
        await wait_until(lambda: {"a", "b"} <= set(follower.received_names()))

    run(scenario)


def test_process_asks_the_store_when_it_distrusts_its_peers():
    # Guards against a process that knows that its copy is out of date and
    # waits for the watching process, which stands still.
    async def scenario(documents, watching_process, follower):
        await wait_settled(documents)
        watching_process.peers = []
        # The follower still counts what it has just heard as current.
        await asyncio.sleep(0.01)
        await documents.create("probe", "a", {"x": 1})
        follower.store.distrust_peers("probe")
        started = SystemClock().monotonic()
        follower.watchers[0].restart_watch()
        await wait_until(lambda: "a" in follower.received_names())
        assert SystemClock().monotonic() - started < WAIT_S / 4

    run(scenario)

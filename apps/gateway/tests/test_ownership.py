"""A batch runs on its owner, and is taken over if its owner can't run it."""

import pytest
from shallotstand.batches.records import Submission
from shallotstand.batches.registry import Batch
from shallotstand.batches.runner import UNCLAIMED_TIMEOUT_S
from shallotstand.core.clock import ManualClock
from shallotstand.gateway.ownership import MeshOwnership

OWN_PROCESS_ID = "node-1.b"


class FakeMesh:
    """A mesh with a given view of the other processes."""

    def __init__(self):
        self.is_peer_view_complete = True
        self.available = set()
        self.running = set()
        self.claimed = set()
        self.preferred_owner = OWN_PROCESS_ID

    def is_process_available(self, process_id):
        return process_id in self.available

    def is_batch_claimed(self, batch_id):
        return batch_id in self.running

    def was_claimed(self, batch_id):
        return batch_id in self.claimed

    def is_preferred_owner(self, name):
        del name
        return self.preferred_owner == OWN_PROCESS_ID


class OwnershipCase:
    """A process with its ownership rules."""

    def __init__(self):
        self.mesh = FakeMesh()
        self.clock = ManualClock()
        self.ownership = MeshOwnership(
            OWN_PROCESS_ID, "node-1", self.mesh, self.clock
        )

    def should_run(self, owner):
        submission = Submission("batch", "a", "h", "/", 1, 1, 0.0, owner, ())
        return self.ownership.should_run(Batch(submission))


@pytest.fixture
def case():
    return OwnershipCase()


def test_own_batch_is_run(case):
    assert case.should_run(OWN_PROCESS_ID)


def test_own_batch_that_a_peer_runs_is_left_to_it(case):
    # Guards against work done twice after a peer took over a batch that its
    # owner could not begin for a while.
    case.mesh.running.add("batch")
    assert not case.should_run(OWN_PROCESS_ID)
    case.mesh.running.clear()
    assert case.should_run(OWN_PROCESS_ID)


def test_batch_of_an_earlier_process_of_the_instance_is_run(case):
    assert case.should_run("node-1.a")


def test_batch_of_a_process_that_is_gone_is_taken_over(case):
    assert case.should_run("node-2.a")


def test_batch_that_a_peer_runs_is_left_to_it(case):
    case.mesh.running = {"batch"}
    assert not case.should_run("node-2.a")


def test_batch_is_left_to_the_preferred_owner(case):
    case.mesh.preferred_owner = "node-3.a"
    assert not case.should_run("node-2.a")


def test_nothing_is_taken_over_before_the_peers_have_reported(case):
    case.mesh.is_peer_view_complete = False
    assert not case.should_run("node-2.a")


def test_batch_that_an_unavailable_peer_claimed_is_taken_over_at_once(case):
    case.mesh.available = {"node-2.a"}
    case.mesh.claimed = {"batch"}
    assert case.should_run("node-2.a")


def test_batch_that_its_owner_never_received_is_taken_over(case):
    # The message that handed the batch over was lost, and the owner is alive.
    case.mesh.available = {"node-2.a"}
    assert not case.should_run("node-2.a")
    case.clock.advance(UNCLAIMED_TIMEOUT_S + 0.1)
    assert case.should_run("node-2.a")


def test_owner_that_claims_a_batch_late_keeps_it(case):
    case.mesh.available = {"node-2.a"}
    assert not case.should_run("node-2.a")
    case.mesh.running = {"batch"}
    case.clock.advance(UNCLAIMED_TIMEOUT_S + 0.1)
    assert not case.should_run("node-2.a")
    case.mesh.running = set()
    assert not case.should_run("node-2.a")

"""Batches run on the least loaded processes of a zone."""

from shallotstand.link.gateway_messages import EndpointUse, Presence
from shallotstand.peers.placement import BatchPlacement


class FakeMesh:
    """The available peers of a zone."""

    def __init__(self, *peers):
        self._peers = [
            Presence(
                name,
                name,
                True,
                (EndpointUse("engine", running),),
                (),
                "zone-a",
                share,
            )
            for name, share, running in peers
        ]

    def available_in_zone(self, zone):
        return self._peers if zone == "zone-a" else []

    def available(self):
        return self._peers


def choose_process(share, running, *peers, zone="zone-a"):
    return BatchPlacement(
        "own", zone, share, FakeMesh(*peers), lambda: running
    ).choose_process()


def test_process_without_peers_runs_its_batches():
    assert choose_process(38, 100) == "own"


def test_small_process_leaves_a_batch_to_a_large_one():
    assert choose_process(38, 0, ("large", 215, 0), ("small", 38, 0)) == "large"


def test_large_process_keeps_its_batches():
    assert (
        choose_process(215, 60, ("small", 38, 0), ("large", 215, 40)) == "own"
    )


def test_busy_process_leaves_a_batch_to_an_idle_one():
    assert choose_process(80, 80, ("idle", 80, 0), ("busy", 80, 90)) == "idle"


def test_peers_of_other_zones_are_not_considered():
    assert choose_process(38, 0, ("large", 215, 0), zone="zone-b") == "own"


def choose_successors(count, *peers, zone="zone-a"):
    return BatchPlacement(
        "own", zone, 80, FakeMesh(*peers), lambda: 0
    ).choose_successors(count)


def test_batches_of_a_stopping_process_are_shared_out():
    # Pattern: gateways stop in turn while batches run. Guards against a single
    # peer that gets all batches of a gateway.
    peers = (("a", 80, 0), ("b", 80, 0), ("busy", 80, 400))
    assert sorted(choose_successors(4, *peers)) == ["a", "a", "b", "b"]
    large = (("large", 240, 0), ("small", 40, 0))
    assert choose_successors(2, *large) == ["large", "large"]


def test_successors_may_be_in_other_zones():
    # Guards against batches that nobody takes where a zone has one gateway.
    assert choose_successors(1, ("a", 80, 0), zone="zone-b") == ["a"]
    assert choose_successors(2) == []

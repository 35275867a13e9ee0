"""What a gateway knows of endpoints survives the way to its peers."""

from shallotstand.dispatch.endpoint_state import EndpointState
from shallotstand.dispatch.request_shares import Competitor, PeerShares
from shallotstand.dispatch.stated_limits import StatedLimit
from shallotstand.link.codec import decode, encode
from shallotstand.link.gateway_messages import Presence
from shallotstand.peers.endpoint_uses import (
    UseReport,
    make_use,
    merge_reports,
)

NOW = 100.0


def send(*states):
    """Returns the merged state after each one was sent by another peer."""
    presence = Presence(
        "node",
        "process",
        True,
        tuple(make_use("e", state, NOW) for state in states),
    )
    return merge_reports(
        [
            UseReport(use, f"g{number}", NOW)
            for number, use in enumerate(decode(encode(presence)).uses)
        ]
    )


def state(limit, age_s, *competitors):
    return EndpointState(
        1,
        None,
        PeerShares(StatedLimit(limit, NOW - age_s), competitors),
    )


def test_newest_statement_and_all_competitors_are_merged():
    # Guards against a limit that is lost, doubled or outdated on the way.
    merged = send(
        state(4.25, 3.0, Competitor("own", 7)),
        state(2.0, 1.0),
        state(9.0, 2.0, Competitor("own", 1)),
    )
    assert merged.running == 3
    assert merged.shares == PeerShares(
        StatedLimit(2.0, NOW - 1.0),
        (Competitor("g0", 7), Competitor("g2", 1)),
    )


def test_end_of_a_limit_is_a_statement():
    assert send(state(4.0, 2.0), state(None, 1.0)).shares.stated_limit == (
        StatedLimit(None, NOW - 1.0)
    )


def test_limit_of_zero_is_a_limit():
    assert send(state(0.0, 1.0)).shares.stated_limit.requests_per_s == 0.0


def test_values_out_of_range_are_capped():
    # Guards against a presence that can't be encoded, so that the peers take
    # its sender for dead.
    merged = send(state(1e12, 1e9, Competitor("own", 10**9)))
    assert merged.shares.stated_limit.requests_per_s > 4e6


def test_use_without_a_limit_carries_none():
    assert send(EndpointState(2, 0.5)) == EndpointState(2, 0.5)

"""Exchanges totals of served tokens with the other entries."""

import asyncio
from collections.abc import Iterable

from shallotstand.link.messages import AccountShare, Share
from shallotstand.link.peer_connections import (
    PeerConnection,
    PeerConnectionManager,
)
from shallotstand.serving.admission import Admission, ServedTokens

SHARE_INTERVAL_S = 0.2


class ShareExchange:
    """Shares served totals so that admission is fair over all entries.

    Attributes:
      peer_connections: Connections to the peers; set right after construction.
    """

    peer_connections: PeerConnectionManager | None = None

    def __init__(self, admission: Admission):
        self._admission = admission
        self._peers_by_id: dict[str, PeerConnection] = {}
        self._announced: frozenset[ServedTokens] = frozenset()

    async def run(self) -> None:
        """Broadcasts changed totals every 200 ms, until cancelled."""
        while True:
            await asyncio.sleep(SHARE_INTERVAL_S)
            self._forget_silent_peers()
            served = frozenset(self._admission.served_totals())
            if changed := served - self._announced:
                self.peer_connections.broadcast(
                    _share_message(changed), "entry"
                )
            self._announced = served

    def _forget_silent_peers(self) -> None:
        """Drops the totals of silent peers, so that others use their slots.

        The connection of a silent peer is closed only later. A peer that was
        only slow is counted again with its next message.
        """
        for process_id, peer in self._peers_by_id.items():
            if peer.is_silent:
                self._admission.forget_peer(process_id)

    def send_totals(self, peer: PeerConnection) -> None:
        """Sends all totals to an entry that has connected.

        Later messages contain only the totals that changed.
        """
        self._peers_by_id[peer.hello.process_id] = peer
        peer.send(_share_message(self._admission.served_totals()))

    def receive_share(self, peer: PeerConnection, share: Share) -> None:
        """Records the totals that another entry sent."""
        hello = peer.hello
        totals = (
            ServedTokens(
                row.service,
                row.account,
                row.tokens,
                row.running,
                row.waiting,
                row.weight,
            )
            for row in share.accounts
        )
        self._admission.receive_served_totals(
            hello.process_id, hello.incarnation, totals
        )

    def forget_peer(self, peer: PeerConnection) -> None:
        """Drops the totals of a lost peer unless it has reconnected."""
        process_id = peer.hello.process_id
        if self._peers_by_id.get(process_id) is peer:
            del self._peers_by_id[process_id]
            self._admission.forget_peer(process_id)


def _share_message(served: Iterable[ServedTokens]) -> Share:
    return Share(
        tuple(
            AccountShare(
                row.account,
                row.tokens,
                row.service,
                row.running,
                row.waiting,
                row.weight,
            )
            for row in served
        )
    )

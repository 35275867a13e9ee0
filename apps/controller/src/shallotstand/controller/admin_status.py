"""Status of processes, endpoints and scopes; independent of HTTP."""

from typing import TypedDict

from shallotstand.controller.controller import Controller
from shallotstand.core.version import VERSION
from shallotstand.link.peer_connections import PeerConnection
from shallotstand.objects.encoding import catalog_digest


class ProcessRow(TypedDict):
    """Status of a process.

    Attributes:
      process: Name of the process.
      role: `entry`, `controller` or `sidecar`.
      zone: Availability zone.
      revision: Revision that the process uses; for a sidecar the highest
        revision that it has seen.
      digest: Digest of the revision; empty for sidecars, which have no
        configuration.
      confirmed_s_ago: Seconds since the process reported its revision; None if
        it never did.
      heard_s_ago: Seconds since the last message of the process.
      version: Version of the program.
    """

    process: str
    role: str
    zone: str
    revision: int
    digest: str
    confirmed_s_ago: float | None
    heard_s_ago: float
    version: str


class EndpointRow(TypedDict):
    """Status of an endpoint; `unknown` before its first load report."""

    endpoint: str
    service: str
    zone: str
    sidecar: str
    state: str
    weights: str


class ScopeRow(TypedDict):
    """A scope and its holder, which is empty while no controller holds it."""

    scope: str
    holder: str
    epoch: int


class Status(TypedDict):
    """Status of the deployment as seen by one controller."""

    revision: int
    digest: str
    is_confirmed: bool
    processes: list[ProcessRow]
    endpoints: list[EndpointRow]
    scopes: list[ScopeRow]


def read_status(controller: Controller) -> Status:
    """Returns the status of the deployment as the controller sees it now."""
    peers = [
        peer
        for _, peer in sorted(
            controller.peer_connections.connections_by_id.items()
        )
    ]
    return Status(
        revision=controller.config_keeper.catalog.revision,
        digest=catalog_digest(controller.config_keeper.catalog),
        is_confirmed=controller.config_keeper.is_confirmed,
        processes=[
            _own_row(controller),
            *(_process_row(controller, peer) for peer in peers),
        ],
        endpoints=[
            row for peer in peers for row in _endpoint_rows(controller, peer)
        ],
        scopes=[
            ScopeRow(scope=name, holder=holder, epoch=epoch)
            for name, (holder, epoch) in (
                controller.scope_keeper.holders().items()
            )
        ],
    )


def _own_row(controller: Controller) -> ProcessRow:
    identity = controller.peer_connections.identity
    catalog = controller.config_keeper.catalog
    return ProcessRow(
        process=identity.process_id,
        role=identity.role,
        zone=identity.zone,
        revision=catalog.revision,
        digest=catalog_digest(catalog),
        confirmed_s_ago=0.0 if controller.config_keeper.is_confirmed else None,
        heard_s_ago=0.0,
        version=VERSION,
    )


def _process_row(controller: Controller, peer: PeerConnection) -> ProcessRow:
    hello = peer.hello
    reported = controller.peer_reports.get_revision(hello.process_id)
    age = (
        controller.peer_reports.get_revision_age_s(reported)
        if reported
        else None
    )
    return ProcessRow(
        process=hello.process_id,
        role=hello.role,
        zone=hello.zone,
        revision=(
            reported.revision if reported else peer.highest_config_revision
        ),
        digest=reported.digest if reported else "",
        confirmed_s_ago=None if age is None else round(age, 1),
        heard_s_ago=round(peer.silence_s, 1),
        version=hello.version,
    )


def _endpoint_rows(
    controller: Controller, peer: PeerConnection
) -> list[EndpointRow]:
    rows = []
    for info in peer.hello.endpoints:
        process = peer.hello.process_id
        load = controller.peer_reports.get_load(process, info.name)
        rows.append(
            EndpointRow(
                endpoint=info.name,
                service=info.service,
                zone=info.zone,
                sidecar=process,
                state=load.state if load else "unknown",
                weights=load.version if load else info.version,
            )
        )
    return rows

"""Settings of the controller."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from shallotstand.settings.options import (
    Address,
    Choice,
    Integer,
    ListOf,
    Name,
    SocketAddress,
    Table,
    Text,
)

_URL_PATTERN = r"https?://[0-9.:\[\]a-f]+"

TABLE = Table(
    {
        "process_id": Name("Name of the process, unique in the deployment."),
        "zone": Name("Availability zone of the instance."),
        "log_level": Choice(
            "Least severe level that is logged.",
            ("debug", "info", "warning", "error"),
            "info",
        ),
        "peer_address": Address("Address for sidecars, entries, controllers."),
        "peers": ListOf(
            Address("Address of an entry or controller."),
            "Entries and controllers to connect to at first.",
            (),
        ),
        "entries": ListOf(
            Address("Peer address of an entry."),
            "Peer addresses of all entries, as the entries list them; a "
            "majority of them confirms a configuration.",
            (),
        ),
        "admin_listen": Address(
            "Address of the administration API; none if left out.", None
        ),
        "admin_key_hashes": ListOf(
            Text("Hash of an operator's key.", pattern=r"[0-9a-f]{64}"),
            "Hashes of the keys that the administration API accepts.",
            (),
        ),
        "metrics_listen": Address(
            "Address of the metrics endpoint; none if left out.", None
        ),
        "store_url": Text("Address of the object API.", pattern=_URL_PATTERN),
        "usage_url": Text(
            "Address that takes usage reports.", pattern=_URL_PATTERN
        ),
        "zones": ListOf(
            Name("Availability zone."), "Zones in which endpoints run.", ()
        ),
        "usage_shards": Integer(
            "Number of usage shards; the same for every process.",
            12,
            minimum=1,
        ),
        "window_s": Integer(
            "Length of a usage window.", 300, minimum=1, unit="seconds"
        ),
        "grace_s": Integer(
            "Time after a window in which its records still count; shorter "
            "than a window.",
            30,
            unit="seconds",
        ),
    }
)


class ControllerSettings(NamedTuple):
    """Settings of one controller; see TABLE for the meaning of each."""

    process_id: str
    zone: str
    log_level: str
    peer_address: SocketAddress
    peers: tuple[SocketAddress, ...]
    store_url: str
    usage_url: str
    zones: tuple[str, ...]
    usage_shards: int
    window_s: int
    grace_s: int | None = None
    entries: tuple[SocketAddress, ...] = ()
    admin_listen: SocketAddress | None = None
    admin_key_hashes: tuple[str, ...] = ()
    metrics_listen: SocketAddress | None = None

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "ControllerSettings":
        """Creates the settings from a validated table."""
        return cls(**config)

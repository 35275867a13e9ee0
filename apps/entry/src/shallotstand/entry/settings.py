"""Settings of the entry process."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from shallotstand.settings.options import (
    Address,
    Choice,
    Integer,
    ListOf,
    Name,
    Number,
    SocketAddress,
    Table,
    Text,
)

TABLE = Table(
    {
        "process_id": Name("Name of the process, unique in the deployment."),
        "zone": Name("Availability zone of the instance."),
        "log_level": Choice(
            "Least severe level that is logged.",
            ("debug", "info", "warning", "error"),
            "info",
        ),
        "listen": Address("Address for callers and trainers."),
        "peer_listen": Address("Address for sidecars, entries, controllers."),
        "entries": ListOf(
            Address("Peer address of an entry."),
            "Peer addresses of all entries, this one included; a majority of "
            "them confirms a configuration.",
        ),
        "store_url": Text(
            "Address of the platform's object API.", pattern=r"https?://.+"
        ),
        "max_body_bytes": Integer(
            "Largest request body.", 8 * 1024 * 1024, 1024, unit="bytes"
        ),
        "request_timeout_s": Number(
            "Time within which a request's head and body must arrive.",
            15.0,
            0.1,
            unit="seconds",
        ),
        "shutdown_deadline_s": Number(
            "Longest time that answers in progress may take after SIGTERM.",
            660.0,
            unit="seconds",
        ),
        "window_s": Integer(
            "Length of a usage window.", 300, minimum=1, unit="seconds"
        ),
        "instances_url": Text(
            "Address of the platform's list of instances; empty for none.",
            "",
            pattern=r"(https?://.+)?",
        ),
        "metrics_listen": Address(
            "Address of the metrics endpoint; none if left out.", None
        ),
    }
)


class EntrySettings(NamedTuple):
    """Settings of one entry; see TABLE for the meaning of each."""

    process_id: str
    zone: str
    log_level: str
    listen: SocketAddress
    peer_listen: SocketAddress
    entries: tuple[SocketAddress, ...]
    store_url: str
    max_body_bytes: int
    request_timeout_s: float
    shutdown_deadline_s: float
    window_s: int = 300
    instances_url: str = ""
    metrics_listen: SocketAddress | None = None

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "EntrySettings":
        """Creates the settings from a validated table."""
        return cls(**config)

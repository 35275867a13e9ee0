"""Settings of the sidecar."""

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
        "metrics_port": Integer(
            "Port of the metrics endpoint on the loopback address; 0 for none.",
            0,
            maximum=65535,
        ),
        "shutdown_deadline_s": Number(
            "Longest time that answers in progress may take after SIGTERM.",
            660.0,
            unit="seconds",
        ),
        "window_s": Integer(
            "Length of a usage window.", 300, minimum=1, unit="seconds"
        ),
        "usage_shards": Integer(
            "Number of usage shards; the same for every process.",
            12,
            minimum=1,
        ),
        "peers": ListOf(
            Address("Address of an entry or controller."),
            "Entries and controllers to connect to at first.",
        ),
        "endpoint": ListOf(
            Table(
                {
                    "name": Name("Name of the endpoint in its service."),
                    "service": Name("Service that the endpoint serves."),
                    "kind": Choice(
                        "Model engine or plain service.",
                        ("model", "plain"),
                        "model",
                    ),
                    "url": Text(
                        "Address of the endpoint.",
                        pattern=r"https?://[0-9.:\[\]a-f]+",
                    ),
                }
            ),
            "Endpoints on this instance.",
        ),
    }
)


class EndpointSettings(NamedTuple):
    """Name, service, kind and address of an endpoint on this instance."""

    name: str
    service: str
    kind: str
    url: str


class SidecarSettings(NamedTuple):
    """Settings of one sidecar; see TABLE for the meaning of each."""

    process_id: str
    zone: str
    log_level: str
    metrics_port: int
    shutdown_deadline_s: float
    window_s: int
    usage_shards: int
    peers: tuple[SocketAddress, ...]
    endpoints: tuple[EndpointSettings, ...]

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "SidecarSettings":
        """Creates the settings from a validated table."""
        values = dict(config)
        endpoints = tuple(
            EndpointSettings(**endpoint) for endpoint in values.pop("endpoint")
        )
        return cls(**values, endpoints=endpoints)

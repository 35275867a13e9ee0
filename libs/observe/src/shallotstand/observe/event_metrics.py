"""Counters and latencies derived from logged events."""

from collections.abc import Callable
from typing import NamedTuple

from shallotstand.core import logs
from shallotstand.observe.metrics import Metrics


class EventLatency(NamedTuple):
    """A latency metric whose values come from a field of an event.

    Attributes:
      message: Message of the event.
      field: Field that contains the seconds.
      label: Field whose value labels the latency.
      name: Name of the metric.
      description: Help text of the metric.
    """

    message: str
    field: str
    label: str
    name: str
    description: str


LATENCIES = (
    EventLatency(
        "Request ended",
        "took_s",
        "route",
        "request_seconds",
        "Time from a request's arrival to its answer.",
    ),
    EventLatency(
        "Item done",
        "generated_s",
        "endpoint",
        "item_seconds",
        "Time in which an item's text was generated, waits included.",
    ),
    EventLatency(
        "Results listed",
        "write_s",
        "outcome",
        "listing_seconds",
        "Time in which finished results were listed.",
    ),
    EventLatency(
        "Regained the store",
        "after_s",
        "kind",
        "store_outage_seconds",
        "Length of outages of the store, as this process saw them.",
    ),
)


def record_event_metrics(metrics: Metrics) -> None:
    """Counts all events from now on and records their latencies."""
    events = metrics.counter(
        "events", "Decisions and changes of belief.", "message", "code"
    )
    latency_by_message: dict[str, tuple[EventLatency, Callable]] = {
        latency.message: (
            latency,
            metrics.latency(latency.name, latency.description, latency.label),
        )
        for latency in LATENCIES
    }

    def record_event(message: str, fields: dict[str, object]) -> None:
        events.labels(message, str(fields.get("code", ""))).inc()
        match = latency_by_message.get(message)
        if match is None:
            return
        latency, record = match
        seconds = fields.get(latency.field)
        if isinstance(seconds, (int, float)):
            record(str(fields.get(latency.label, "")), seconds)

    logs.add_event_listener(record_event)


def make_endpoint_request_counter(
    metrics: Metrics,
) -> Callable[[str, str], None]:
    """Returns a function that counts a request by endpoint and outcome."""
    requests = metrics.counter(
        "endpoint_requests",
        "Requests sent to endpoints, refused ones included.",
        "endpoint",
        "outcome",
    )

    def count(endpoint: str, outcome: str) -> None:
        requests.labels(endpoint, outcome).inc()

    return count


def make_store_call_counter(
    metrics: Metrics,
) -> Callable[[str, str, object], None]:
    """Returns a function that counts a call by method, kind and status."""
    calls = metrics.counter(
        "store_calls", "Calls to the store.", "method", "kind", "status"
    )

    def count(method: str, kind: str, status: object) -> None:
        calls.labels(method, kind, str(status)).inc()

    return count

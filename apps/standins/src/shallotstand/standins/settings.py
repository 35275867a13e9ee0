"""Settings of the stand-ins' program."""

from shallotstand.settings.options import (
    Address,
    Choice,
    Flag,
    Integer,
    ListOf,
    Name,
    Number,
    Table,
    Text,
)
from shallotstand.standins.zone_orders import CHECKS

_LISTEN = Address("Address that it serves.")

_INSTANCE = Table(
    {
        "name": Name("Name of the instance."),
        "zone": Name("Availability zone."),
        "role": Choice("Role.", ("entry", "endpoint"), "endpoint"),
        "state": Choice("State.", ("live", "leaving"), "live"),
    }
)

_WEIGHTS = Table(
    {
        "key": Text("Key of the weights."),
        "bytes": Integer("Size.", 1024, maximum=1 << 24, unit="bytes"),
    }
)

_PLATFORM = Table(
    {
        "listen": _LISTEN,
        "zone_order_checks": Choice(
            "What a zone order is refused for.", CHECKS, "none"
        ),
        "instance_lag_s": Number(
            "Age of the list of instances.", 0.0, unit="seconds"
        ),
        "weight_fetches_per_s": Number(
            "Rate of the weight store.", 1.0, unit="fetches a second"
        ),
        "instance": ListOf(_INSTANCE, "Instances at the start.", ()),
        "weights": ListOf(_WEIGHTS, "Content of the weight store.", ()),
    }
)

_ENGINE = Table(
    {
        "name": Name("Name of the engine."),
        "listen": _LISTEN,
        "model": Name("Model that the answers name."),
        "version": Text("Weight version at the start.", "v1"),
        "slots": Integer("Requests that it batches.", 8, minimum=1),
        "token_s": Number("Time for each token.", 0.002, unit="seconds"),
        "prefill_s": Number(
            "Time for each prompt block not cached.", 0.001, unit="seconds"
        ),
        "cache_blocks": Integer("Prompt blocks in its cache.", 256, minimum=1),
        "checks_epoch": Flag("Whether it refuses orders of old epochs.", True),
        "load_lag_s": Number("Age of its reports.", 0.2, unit="seconds"),
        "lost_events": Number(
            "Share of cache events never reported.", 0.0, maximum=1.0
        ),
        "failing_swaps": Integer("Number of first swaps that fail.", 0),
        "restart_s": Number(
            "Time from a crash to the restart; 0 to wait for a call.",
            0.0,
            unit="seconds",
        ),
    }
)

_PLAIN = Table(
    {
        "name": Name("Name of the service's endpoint."),
        "listen": _LISTEN,
        "scorer": Flag("Whether it scores samples posted to /."),
        "slots": Integer("Requests that it reports to take.", 16, minimum=1),
    }
)

TABLE = Table(
    {
        "log_level": Choice(
            "Least severe level that is logged.",
            ("debug", "info", "warning", "error"),
            "info",
        ),
        "platform": ListOf(_PLATFORM, "Platforms.", ()),
        "engine": ListOf(_ENGINE, "Model engines.", ()),
        "plain": ListOf(_PLAIN, "Plain services.", ()),
    }
)

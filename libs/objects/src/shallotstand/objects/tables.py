"""Options of the configuration objects, as operators write them in TOML."""

from typing import Any, NamedTuple

from shallotstand.objects.types import (
    Catalog,
    ClientAccount,
    Key,
    ModelVersion,
    RolloutJob,
    Service,
)
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

# No request may run longer, so that a graceful shutdown can wait for all.
_MAX_DEADLINE_S = 600
_MAX_HTTP_STATUS = 599
# A share of 1 leaves no error budget to burn.
_MAX_GOOD_SHARE = 0.99999
_MIN_HTTP_STATUS = 400

_CLIENT_ACCOUNT = Table(
    {
        "name": Name("Name of the client account."),
        "weight": Number("Share of a busy service.", 1.0, 0.001, 1000),
        "tokens_per_second": Number(
            "Guaranteed and billed rate; 0 for no guarantee.", 0.0
        ),
        "max_concurrency": Integer(
            "Most requests in progress at once; 0 for no limit.", 0
        ),
        "internal": Flag("Whether it may call internal services."),
    }
)

_KEY = Table(
    {
        "name": Name("Name by which operators withdraw the key."),
        "account": Name("Name of the client account."),
        "hash": Text("Hash of the key.", pattern=r"[0-9a-f]{64}"),
    }
)

_ENDPOINT = Table(
    {
        "name": Name("Name of the endpoint, unique among all services."),
        "address": Address("Address of the back end."),
        "zone": Name("Availability zone of the instance."),
        "instance": Name("Name of the instance."),
    }
)

_SERVICE = Table(
    {
        "name": Name("Name of the service."),
        "kind": Choice("Kind of back end.", ("model", "plain"), "model"),
        "model": Text("Model that engines serve; empty if plain.", ""),
        "path": Text(
            "Path prefix of a plain service; empty for models.",
            "",
            r"|(/[A-Za-z0-9._~-]+)+",
        ),
        "open": Flag("Whether callers need no key."),
        "internal": Flag("Whether only internal client accounts may call."),
        "endpoints": ListOf(_ENDPOINT, "Back ends.", ()),
        "idempotent": Flag("Whether a request may be repeated."),
        "not_run_statuses": ListOf(
            Integer("HTTP status.", 0, _MIN_HTTP_STATUS, _MAX_HTTP_STATUS),
            'Statuses by which an endpoint says "not run".',
            (),
        ),
        "flush_ms": Integer(
            "Longest time that stream bytes wait.", 40, 0, 1000, "ms"
        ),
        "tokens_per_second": Number(
            "What all endpoints yield together; 0 if unknown.", 0.0
        ),
        "max_queue": Integer(
            "Most waiting requests of one client account.", 1000, 1
        ),
        "deadline_s": Number(
            "Longest time from arrival to the end of an answer.",
            60.0,
            0.001,
            _MAX_DEADLINE_S,
            "seconds",
        ),
        "weights_interval_s": Number(
            "Time between new versions of the model; 0 if irregular.",
            0.0,
            unit="seconds",
        ),
        "objective_good_share": Number(
            "Share of requests that must be good; 0 for no objective.",
            0.0,
            0,
            _MAX_GOOD_SHARE,
        ),
        "objective_latency_s": Number(
            "Time within which a good request's answer begins; 0 for any.",
            0.0,
            0,
            _MAX_DEADLINE_S,
            "seconds",
        ),
    }
)

_MODEL_VERSION = Table(
    {
        "name": Name("Name by which engines report the version."),
        "model": Name("Name of the model."),
        "number": Integer("Counts up with each version.", minimum=1),
        "weights": Text("Key in the weight store.", pattern=r".+"),
    }
)

_ROLLOUT_JOB = Table(
    {
        "name": Name("Name of the job."),
        "account": Name("Client account of the trainer."),
        "service": Name("Service that generates the samples."),
        "group_size": Integer("Samples for each prompt.", minimum=1),
        "groups_per_step": Integer("Prompts for each step.", minimum=1),
        "staleness_bound": Integer("Most versions that a sample lies behind."),
        "scorer": Text("Plain service that scores; empty for none.", ""),
        "after": Text("Job whose steps come first; empty for none.", ""),
        "step_deadline_s": Number(
            "Time within which a step is to be whole.",
            540.0,
            0.001,
            unit="seconds",
        ),
    }
)


class Kind(NamedTuple):
    """A kind of configuration object.

    Attributes:
      name: Name of the TOML table.
      table: Options of the kind.
      type: NamedTuple class with a `from_config` class method.
      field: Field of `Catalog` that holds the objects of the kind.
    """

    name: str
    table: Table
    type: Any
    field: str

    def objects(self, catalog: Catalog) -> dict[str, Any]:
        """Returns the objects of this kind by name."""
        return getattr(catalog, self.field)


KINDS_BY_NAME = {
    kind.name: kind
    for kind in (
        Kind(
            "client_account",
            _CLIENT_ACCOUNT,
            ClientAccount,
            "accounts_by_name",
        ),
        Kind("key", _KEY, Key, "keys_by_name"),
        Kind("service", _SERVICE, Service, "services_by_name"),
        Kind("model_version", _MODEL_VERSION, ModelVersion, "versions_by_name"),
        Kind("rollout_job", _ROLLOUT_JOB, RolloutJob, "jobs_by_name"),
    )
}

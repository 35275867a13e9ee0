"""The objects by which operators describe what they want."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class ClientAccount(NamedTuple):
    """A tenant that calls services and is billed.

    Attributes:
      name: Name of the client account.
      weight: Share of a busy service relative to other client accounts.
      tokens_per_second: Guaranteed and billed rate; 0 for no guarantee.
      max_concurrency: Most requests in progress at once; 0 for no limit.
      internal: Whether the account may call internal services.
    """

    name: str
    weight: float
    tokens_per_second: float
    max_concurrency: int
    internal: bool

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "ClientAccount":
        """Makes the object from a table that passed its check."""
        return cls(**_as_floats(config, "weight", "tokens_per_second"))


class Key(NamedTuple):
    """A caller's key; only its hash is known.

    Attributes:
      name: Name by which operators withdraw the key.
      account: Name of the client account.
      hash: Hash of the key in hexadecimal digits, see `keys.hash_key`.
    """

    name: str
    account: str
    hash: str

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "Key":
        """Makes the object from a table that passed its check."""
        return cls(**config)


class Endpoint(NamedTuple):
    """A back end that runs requests of a service."""

    name: str
    address: str
    zone: str
    instance: str

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "Endpoint":
        """Makes the endpoint from a table that passed its check."""
        return cls(**{**config, "address": str(config["address"])})


class Service(NamedTuple):
    """What callers can call.

    Attributes:
      name: Name of the service.
      kind: `model` for engines, `plain` for other HTTP services.
      model: Name of the model that engines serve; empty for plain services.
      path: Path prefix under which callers reach a plain service.
      open: Whether the service needs no key.
      internal: Whether only internal client accounts may call it.
      endpoints: Back ends, in the order of the file.
      idempotent: Whether a request may be repeated.
      not_run_statuses: HTTP statuses by which an endpoint says "not run".
      flush_ms: Longest time that bytes of a stream wait to be sent together.
      tokens_per_second: What all endpoints yield together; 0 if unknown.
      max_queue: Most waiting requests of one client account.
      deadline_s: Longest time from arrival to the end of an answer.
      weights_interval_s: Seconds between new versions of the model; 0 if they
        come at no regular time.
      objective_good_share: Share of requests that must be good; 0 for no
        objective.
      objective_latency_s: Time within which the answer of a good request
        begins; 0 for any time.
    """

    name: str
    kind: str
    model: str
    path: str
    open: bool
    internal: bool
    endpoints: tuple[Endpoint, ...]
    idempotent: bool
    not_run_statuses: tuple[int, ...]
    flush_ms: int
    tokens_per_second: float
    max_queue: int
    deadline_s: float
    weights_interval_s: float = 0.0
    objective_good_share: float = 0.0
    objective_latency_s: float = 0.0

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "Service":
        """Makes the object from a table that passed its check."""
        numbers = _as_floats(
            config,
            "tokens_per_second",
            "deadline_s",
            "weights_interval_s",
            "objective_good_share",
            "objective_latency_s",
        )
        endpoints = tuple(map(Endpoint.from_config, config["endpoints"]))
        statuses = tuple(config["not_run_statuses"])
        return cls(
            **{
                **numbers,
                "endpoints": endpoints,
                "not_run_statuses": statuses,
            }
        )


class ModelVersion(NamedTuple):
    """A set of weights of a model.

    Attributes:
      name: Name by which engines report the version.
      model: Name of the model.
      number: Counts up with each version of the model.
      weights: Key of the weights in the weight store.
    """

    name: str
    model: str
    number: int
    weights: str

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "ModelVersion":
        """Makes the object from a table that passed its check."""
        return cls(**config)


class RolloutJob(NamedTuple):
    """A trainer's job, which asks for steps of groups of samples.

    Attributes:
      name: Name of the job.
      account: Client account of the trainer.
      service: Service whose engines generate the samples.
      group_size: Samples for each prompt.
      groups_per_step: Prompts for each step.
      staleness_bound: Most versions that a sample may lie behind.
      scorer: Plain service that scores samples; empty for none.
      after: Job whose steps come first; empty for none.
      step_deadline_s: Time within which a step is to be whole.
    """

    name: str
    account: str
    service: str
    group_size: int
    groups_per_step: int
    staleness_bound: int
    scorer: str
    after: str
    step_deadline_s: float

    @classmethod
    def from_config(cls, config: Mapping[str, Any]) -> "RolloutJob":
        """Makes the object from a table that passed its check."""
        return cls(**_as_floats(config, "step_deadline_s"))


class Catalog(NamedTuple):
    """A whole configuration that passed the check.

    Attributes:
      revision: Number of the revision; 0 before the first publication.
      accounts_by_name: Client accounts.
      keys_by_name: Keys.
      services_by_name: Services.
      versions_by_name: Model versions.
      jobs_by_name: Rollout jobs.
    """

    revision: int
    accounts_by_name: dict[str, ClientAccount]
    keys_by_name: dict[str, Key]
    services_by_name: dict[str, Service]
    versions_by_name: dict[str, ModelVersion]
    jobs_by_name: dict[str, RolloutJob]

    @classmethod
    def empty(cls) -> "Catalog":
        """Returns the configuration before the first publication."""
        return cls(0, {}, {}, {}, {}, {})


def _as_floats(config: Mapping[str, Any], *names: str) -> dict[str, Any]:
    """Returns the table with fractions, since 1 and 1.0 encode differently."""
    return {**config, **{name: float(config[name]) for name in names}}

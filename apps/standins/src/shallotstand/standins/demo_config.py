"""The configuration of the demo."""

from shallotstand.objects.keys import hash_key
from shallotstand.objects.types import (
    Catalog,
    ClientAccount,
    Endpoint,
    Key,
    ModelVersion,
    RolloutJob,
    Service,
)

TRAINER_KEY = "demo-trainer-key"
GUEST_KEY = "demo-guest-key"
MODEL = "drafts"
PLAIN_PATH = "/quotes"
INTERNAL_PATH = "/soil"
SCORER = "marks"
JOB = RolloutJob(
    name="plans",
    account="trainer",
    service=MODEL,
    group_size=4,
    groups_per_step=4,
    staleness_bound=1,
    scorer=SCORER,
    after="",
    step_deadline_s=60.0,
)


def demo_catalog(endpoints_by_service: dict[str, dict[str, str]]) -> Catalog:
    """Returns the demo's configuration.

    Args:
      endpoints_by_service: Addresses by endpoint, by service.
    """
    services = (
        _service(MODEL, kind="model", model=MODEL, idempotent=True),
        _service("quotes", path=PLAIN_PATH),
        _service("soil", path=INTERNAL_PATH, internal=True),
        _service(SCORER, path="/marks", internal=True, idempotent=True),
    )
    return Catalog.empty()._replace(
        revision=1,
        accounts_by_name={
            "trainer": ClientAccount("trainer", 2.0, 0.0, 0, True),
            "guest": ClientAccount("guest", 1.0, 0.0, 0, False),
        },
        keys_by_name={
            "trainer-1": Key("trainer-1", "trainer", hash_key(TRAINER_KEY)),
            "guest-1": Key("guest-1", "guest", hash_key(GUEST_KEY)),
        },
        services_by_name={
            service.name: service._replace(
                endpoints=tuple(
                    Endpoint(name, address, "peak-a", name)
                    for name, address in endpoints_by_service.get(
                        service.name, {}
                    ).items()
                )
            )
            for service in services
        },
        versions_by_name={"v1": ModelVersion("v1", MODEL, 1, "drafts/v1")},
        jobs_by_name={JOB.name: JOB},
    )


def _service(name: str, **fields: object) -> Service:
    held = Service(
        name=name,
        kind="plain",
        model="",
        path="",
        open=False,
        internal=False,
        endpoints=(),
        idempotent=False,
        not_run_statuses=(429, 503),
        flush_ms=20,
        tokens_per_second=0.0,
        max_queue=100,
        deadline_s=10.0,
        weights_interval_s=0.0,
    )
    return held._replace(**fields)

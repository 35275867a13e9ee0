"""The configuration of the demo, written to the store directly.

It stands in for publication and adoption, and goes when these can be used.
"""

import orjson
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.objects.keys import hash_key
from shallotstand.objects.types import (
    Catalog,
    ClientAccount,
    Endpoint,
    Key,
    Service,
)
from shallotstand.platform.protocols import ObjectStore

CATALOG_KEY = "demo/catalog"
TRAINER_KEY = "demo-trainer-key"
GUEST_KEY = "demo-guest-key"
MODEL = "drafts"
PLAIN_PATH = "/quotes"
INTERNAL_PATH = "/soil"


def demo_catalog(endpoints_by_service: dict[str, dict[str, str]]) -> Catalog:
    """Returns the demo's configuration.

    Args:
      endpoints_by_service: Addresses by endpoint, by service.
    """
    services = (
        _service(MODEL, kind="model", model=MODEL, idempotent=True),
        _service("quotes", path=PLAIN_PATH),
        _service("soil", path=INTERNAL_PATH, internal=True),
    )
    return Catalog.empty()._replace(
        revision=1,
        accounts_by_name={
            "trainer": ClientAccount("trainer", 2.0, 0, 0, True),
            "guest": ClientAccount("guest", 1.0, 0, 0, False),
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
    )


async def write_catalog(store: ObjectStore, catalog: Catalog) -> Failure | None:
    """Writes a configuration into the store, in place of the one there."""
    held = await store.get(CATALOG_KEY)
    version = 0
    if not isinstance(held, Failure):
        version = held.version
    elif held.code != ResultCode.OBJECT_NOT_FOUND:
        return held
    written = await store.put(CATALOG_KEY, encode_catalog(catalog), version)
    return written if isinstance(written, Failure) else None


def encode_catalog(catalog: Catalog) -> bytes:
    """Returns JSON in which every object is a list of its fields."""
    return orjson.dumps(catalog, default=list)


def decode_catalog(content: bytes) -> Catalog:
    """Returns the configuration of an encoding of this module."""
    revision, accounts, keys, services, *_ = orjson.loads(content)
    return Catalog.empty()._replace(
        revision=revision,
        accounts_by_name={n: ClientAccount(*v) for n, v in accounts.items()},
        keys_by_name={n: Key(*v) for n, v in keys.items()},
        services_by_name={
            name: _tuples(Service(*values)) for name, values in services.items()
        },
    )


def _tuples(service: Service) -> Service:
    return service._replace(
        endpoints=tuple(Endpoint(*values) for values in service.endpoints),
        not_run_statuses=tuple(service.not_run_statuses),
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
        tokens_per_second=0,
        max_queue=100,
        deadline_s=10.0,
    )
    return held._replace(**fields)

"""Usage and error budget reports for operators; independent of HTTP."""

import orjson
from shallotstand.control.usage_reports import report_key
from shallotstand.controller.admin_sets import OPERATOR_BACKOFF
from shallotstand.core.failure import Failure
from shallotstand.objects.types import Catalog
from shallotstand.observe.burn import (
    HOUR_S,
    PERIOD_S,
    MinuteCountIndex,
    Objective,
    Subject,
    compute_burn,
)
from shallotstand.observe.burn_report import BurnJson, burns_to_json
from shallotstand.observe.slo_recorder import (
    SLO_KEY_PREFIX,
    decode_minute_reports,
)
from shallotstand.platform.conditional import read_object
from shallotstand.platform.protocols import ObjectStore, StoredObject


async def read_usage(
    store: ObjectStore, account: str, window: int
) -> dict | Failure:
    """Reads the frozen report of a client account and window.

    Errors:
      OBJECT_NOT_FOUND: The report does not exist (yet).
      STORE_UNAVAILABLE: The store did not answer.
    """
    stored = await read_object(
        store, report_key(account, window), OPERATOR_BACKOFF
    )
    if isinstance(stored, Failure):
        return stored
    return orjson.loads(stored.value)


async def read_burn(
    store: ObjectStore, catalog: Catalog, now: int
) -> list[BurnJson] | Failure:
    """Computes how fast each service with an objective burns its error budget.

    Args:
      store: The platform's object API.
      catalog: Configuration in force.
      now: Seconds since 1970.

    Errors:
      STORE_UNAVAILABLE: The store did not answer.
    """
    listed = await store.list(SLO_KEY_PREFIX)
    if isinstance(listed, Failure):
        return listed
    recent = [
        stored
        for stored in listed
        if _get_hour(stored) >= now - PERIOD_S - HOUR_S
    ]
    index = MinuteCountIndex(*decode_minute_reports(recent))
    return burns_to_json(
        [
            compute_burn(objective, index, now)
            for objective in make_objectives(catalog)
        ]
    )


def make_objectives(catalog: Catalog) -> list[Objective]:
    """Returns the objectives of a configuration, sorted by service."""
    return [
        Objective(Subject(name), service.objective_good_share)
        for name, service in sorted(catalog.services_by_name.items())
        if service.objective_good_share > 0
    ]


def _get_hour(stored: StoredObject) -> int:
    return int(stored.key.removeprefix(SLO_KEY_PREFIX).partition("/")[0])

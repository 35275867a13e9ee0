"""The explanation agrees with the choice, and changes nothing."""

import pytest
from shallotstand.core.clock import ManualClock
from shallotstand.core.codes import ResultCode
from shallotstand.dispatch.config import (
    ClientAccount,
    Configuration,
    Limits,
    RouteKind,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.placement_report import (
    PlacementQuery,
    explain_placement,
)
from shallotstand.dispatch.request_costs import RequestCosts, RequestTraits
from shallotstand.standins.memory_engines import make_endpoint, make_route

QUOTE = PlacementQuery("h", "/quote/1", "a", 100)
ITEM = PlacementQuery("h", "/rollouts/1", "a", model="m", min_version=3)


CONFIGURATION = Configuration.from_parts(
    7,
    Limits(16384, 1 << 20, 3.0, 15.0),
    [
        make_route("quote", path_prefix="/quote/"),
        make_route("rollouts", path_prefix="/rollouts/", kind=RouteKind.BATCH),
    ],
    [ClientAccount("a", frozenset(), None, frozenset({"north"}))],
    {"engines": 4.0},
)


@pytest.fixture
def registry():
    registry = EndpointRegistry(
        "zone-a",
        ManualClock(),
        region_by_zone={"zone-a": "north", "zone-b": "south"},
    )
    registry.cold.set_rates(CONFIGURATION.cold_rate_by_service)
    for name in ("idle", "used", "leaving", "cold", "far"):
        registry.update_endpoint(
            make_endpoint(
                name,
                zone="zone-b" if name == "far" else "zone-a",
                is_leaving=name == "leaving",
                cold_remaining_s=2.0 if name == "cold" else 0.0,
                version_by_model={"m": 3 if name == "used" else 2},
            )
        )
    registry.record_request_start(registry.by_id["used"], expected_s=2.0)
    # The process competes for the cold endpoint from now on.
    registry.limit_wait_s(["engines"])
    return registry


def explain(registry, query, costs=None):
    return explain_placement(
        query,
        CONFIGURATION,
        registry,
        costs or RequestCosts(ManualClock()),
    )


def against(report):
    return {row["endpoint"]: row["against"] for row in report["endpoints"]}


def test_explanation_names_the_endpoint_that_would_be_chosen(registry):
    # Guards against an explanation that follows other rules than the choice.
    report = explain(registry, QUOTE)
    chosen = registry.candidates("engines", regions=frozenset({"north"}))
    usable = [r["endpoint"] for r in report["endpoints"] if not r["against"]]
    assert report["goes_to"] == chosen[0].id == "idle"
    assert usable == [endpoint.id for endpoint in chosen] == ["idle", "used"]
    assert report["config_version"] == 7


def test_explanation_says_what_speaks_against_an_endpoint(registry):
    reasons = against(explain(registry, QUOTE))
    assert reasons["leaving"] == "leaves"
    assert reasons["far"] == "region"
    assert reasons["cold"].startswith("limit or cold, next share in")
    registry.zone_limits.begin_evacuation("zone-a")
    assert against(explain(registry, QUOTE))["idle"] == "zone is evacuated"


def test_item_needs_a_slot_and_its_version(registry):
    report = explain(registry, ITEM)
    assert report["goes_to"] == "used"
    assert against(report)["idle"] == "weights of version 2"
    registry.record_request_start(registry.by_id["used"])
    report = explain(registry, ITEM)
    assert report["goes_to"] == ""
    assert against(report)["used"] == "no free slot"


def test_explanation_tells_what_the_request_is_likely_to_cost(registry):
    costs = RequestCosts(ManualClock())
    costs.record(RequestTraits("engines", "quote", "a", 100), 0.5)
    report = explain(registry, QUOTE, costs)
    assert (report["expected_s"], report["cost_samples"]) == (0.5, 1)
    assert explain(registry, QUOTE)["expected_s"] is None


def test_explanation_changes_nothing(registry):
    # Guards against a query that takes a share of a limit or a slot.
    before = registry.local_states_by_id()
    explain(registry, QUOTE)
    explain(registry, ITEM)
    assert registry.local_states_by_id() == before


def test_unknown_route_is_an_error(registry):
    outcome = explain(registry, QUOTE._replace(path="/other"))
    assert outcome.code == ResultCode.ROUTE_UNKNOWN

"""Explains where a request or an item would go now, without sending it."""

from typing import NamedTuple, TypedDict

from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Configuration, Route, RouteKind
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.ranking import (
    EndpointRanking,
    SpeedRanking,
    WorkRanking,
)
from shallotstand.dispatch.request_costs import RequestCosts, RequestTraits


class PlacementQuery(NamedTuple):
    """A request or a batch item that is to be explained.

    Attributes:
      host: Host to which it is addressed.
      path: Its path.
      account: Its client account; empty if there is none.
      size: Size of its content in bytes.
      model: Model of a batch item; empty if any.
      min_version: Lowest version of the weights that a batch item accepts.
    """

    host: str
    path: str
    account: str = ""
    size: int = 0
    model: str = ""
    min_version: int = 0


class EndpointRow(TypedDict):
    """What decides for or against an endpoint, as this process sees it.

    `cost` is None, and `against` says why, if it can't take the request now.
    `work_left_s` and `running` count the requests of all processes; `speed` is
    the seconds per unit of work, None if unknown.
    """

    endpoint: str
    service: str
    zone: str
    cost: float | None
    against: str
    running: int
    slots: int
    work_left_s: float
    speed: float | None
    failure_rate: float


class PlacementReport(TypedDict):
    """Where a request would go, and why.

    `endpoints` has the best one first, then those that can take nothing now.
    `expected_s` is what the request is likely to cost, with the number of
    requests that it is based on, their spread and the age of the newest.
    """

    route: str
    kind: str
    config_version: int
    goes_to: str
    expected_s: float | None
    spread_s: float | None
    cost_samples: int
    cost_age_s: float | None
    endpoints: list[EndpointRow]


def explain_placement(
    query: PlacementQuery,
    configuration: Configuration,
    registry: EndpointRegistry,
    costs: RequestCosts,
) -> PlacementReport | Failure:
    """Explains where a request would go now.

    Errors:
      ROUTE_UNKNOWN: No route matches the request.
    """
    route = configuration.match_route(query.host, query.path)
    if isinstance(route, Failure):
        return route
    route = route.for_account(configuration.accounts_by_name.get(query.account))
    estimate = costs.estimate(
        RequestTraits(
            route.targets[0].service,
            route.name,
            query.account or None,
            query.size,
        )
    )
    explainer = _Explainer(
        query, route, registry, 0.0 if estimate is None else estimate.seconds
    )
    rows = explainer.rows()
    return PlacementReport(
        route=route.name,
        kind=route.kind.value,
        config_version=configuration.version,
        goes_to=rows[0]["endpoint"]
        if rows and rows[0]["cost"] is not None
        else "",
        expected_s=estimate and round(estimate.seconds, 4),
        spread_s=estimate and round(estimate.spread_s, 4),
        cost_samples=estimate.sample_count if estimate else 0,
        cost_age_s=estimate and round(estimate.age_s, 3),
        endpoints=rows,
    )


class _Explainer:
    def __init__(
        self,
        query: PlacementQuery,
        route: Route,
        registry: EndpointRegistry,
        expected_s: float,
    ):
        self._query = query
        self._route = route
        self._registry = registry
        self._expected_s = expected_s
        self._is_item = route.kind is RouteKind.BATCH
        self._ranking: EndpointRanking = (
            SpeedRanking() if self._is_item else WorkRanking()
        )

    def rows(self) -> list[EndpointRow]:
        """Returns a row for each endpoint, the best one first."""
        services = {target.service for target in self._route.targets}
        rows = [
            self._row(endpoint)
            for endpoint in self._registry.by_id.values()
            if endpoint.service in services
        ]
        return sorted(
            rows,
            key=lambda row: (
                row["cost"] is None,
                row["cost"] or 0.0,
                row["endpoint"],
            ),
        )

    def _row(self, endpoint: Endpoint) -> EndpointRow:
        against = self._against(endpoint)
        view = self._registry.view(endpoint, self._expected_s)
        return EndpointRow(
            endpoint=endpoint.id,
            service=endpoint.service,
            zone=endpoint.zone,
            cost=None if against else round(self._ranking.cost(view), 6),
            against=against,
            running=view.running,
            slots=view.slots,
            work_left_s=round(view.work_left_s, 4),
            speed=self._registry.seconds_per_unit(endpoint),
            failure_rate=round(view.failure_rate, 4),
        )

    def _against(self, endpoint: Endpoint) -> str:
        """Returns why an endpoint can't take the request; empty if it can."""
        registry, query = self._registry, self._query
        regions = self._route.allowed_regions
        version = registry.model_version(endpoint, query.model)
        wait_s = registry.request_shares.next_share_in_s(endpoint.id)
        reasons = (
            (registry.is_leaving(endpoint), "leaves"),
            (registry.zone_limits.is_evacuated(endpoint), "zone is evacuated"),
            (not registry.zone_limits.allows(endpoint, regions), "region"),
            (
                not registry.is_available(endpoint.id, query.model),
                "pause after a failure or refusal",
            ),
            (wait_s > 0, f"limit or cold, next share in {wait_s:.2f} s"),
            (
                self._is_item and registry.free_slots(endpoint) <= 0,
                "no free slot",
            ),
            (
                self._is_item
                and bool(query.model)
                and version < query.min_version,
                f"weights of version {version}",
            ),
        )
        return next((reason for holds, reason in reasons if holds), "")

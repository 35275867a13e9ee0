"""The active configuration: routes, services, client accounts and limits."""

import enum
import itertools
from collections.abc import Iterable
from typing import NamedTuple

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure


class RouteKind(enum.Enum):
    """How the requests of a route may be processed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


# Kinds of routes with unary responses.
UNARY_KINDS = (RouteKind.IDEMPOTENT, RouteKind.ONCE)


class RouteTarget(NamedTuple):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route of the configuration.

    Attributes:
      name: Name, for log lines.
      host: Host to which its requests are addressed.
      path_prefix: Prefix of their paths; begins and ends with a slash.
      kind: How its requests may be processed.
      targets: Services, with weights greater than 0.
      timeout_s: Maximum seconds until a request is answered.
      objective_s: Latency objective in seconds.
      priority: Priority of its requests; 0 is the most urgent.
      max_attempts: Maximum number of endpoints to which one request is sent.
        For batches: number of error responses, of engines or of its scorer,
        after which an item is lost.
      is_public: Whether it needs no API key.
      is_resumable: Whether its streams may be resumed on another endpoint.
      results_due_s: For batches: seconds after submission at which all
        results are due.
      item_ttl_s: For batches: seconds after submission at which items
        without a result are lost.
      is_single_version: For batches: whether each text must be generated
        entirely with one version of the weights.
      allowed_regions: Regions whose endpoints may run its requests; None if
        any may.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    results_due_s: float
    item_ttl_s: float
    is_single_version: bool
    allowed_regions: frozenset[str] | None = None

    def for_account(self, account: "ClientAccount | None") -> "Route":
        """Returns the route with the regions that an account allows, too."""
        if account is None or account.allowed_regions is None:
            return self
        regions = account.allowed_regions
        if self.allowed_regions is not None:
            regions = regions & self.allowed_regions
        return self._replace(allowed_regions=regions)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request of the route may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


class ClientAccount(NamedTuple):
    """A client account with its currently valid API keys.

    Attributes:
      name: Its name.
      keys: Its API keys.
      priority: Priority of its requests; None if that of the route holds.
      allowed_regions: Regions whose endpoints may run its requests; None if
        any may.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    allowed_regions: frozenset[str] | None = None


class Limits(NamedTuple):
    """Bounds on what a caller may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """A configuration, with lookup tables for requests.

    Attributes:
      version: Number that increases with each configuration.
      limits: Bounds on what a caller may send.
      routes_by_host: Routes of each host, the longest path prefix first.
      account_by_key: Client account of each valid API key.
      accounts_by_name: All client accounts.
      cold_rate_by_service: Requests per second that a cold endpoint accepts
        from all processes together, of the services whose endpoints can be
        cold.
    """

    version: int
    limits: Limits
    routes_by_host: dict[str, tuple[Route, ...]]
    account_by_key: dict[str, ClientAccount]
    accounts_by_name: dict[str, ClientAccount]
    cold_rate_by_service: dict[str, float]

    @classmethod
    def from_parts(
        cls,
        version: int,
        limits: Limits,
        routes: Iterable[Route],
        accounts: Iterable[ClientAccount],
        cold_rate_by_service: dict[str, float] | None = None,
    ) -> "Configuration":
        """Builds a configuration and its lookup tables."""
        accounts_by_name = {account.name: account for account in accounts}
        ordered = sorted(
            routes, key=lambda route: (route.host, -len(route.path_prefix))
        )
        return cls(
            version,
            limits,
            {
                host: tuple(group)
                for host, group in itertools.groupby(
                    ordered, key=lambda route: route.host
                )
            },
            {
                key: account
                for account in accounts_by_name.values()
                for key in account.keys
            },
            accounts_by_name,
            cold_rate_by_service or {},
        )

    def match_route(self, host: str, path: str) -> Route | Failure:
        """Returns the route of a request.

        Errors:
          ROUTE_UNKNOWN: No route of the host matches the path.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return Failure(ResultCode.ROUTE_UNKNOWN, "No route matches this path.")

    def match_batch_route(self, host: str, path: str) -> Route | Failure:
        """Returns the route of a batch or of one of its items.

        Errors:
          ROUTE_UNKNOWN: No route of the host matches the path, or the one that
            does accepts no batches.
        """
        route = self.match_route(host, path)
        if isinstance(route, Failure) or route.kind is RouteKind.BATCH:
            return route
        return Failure(
            ResultCode.ROUTE_UNKNOWN, "The path's route accepts no batches."
        )

    def match_unary_route(self, host: str, path: str) -> Route | Failure:
        """Returns the route of a request with a unary response.

        Errors:
          ROUTE_UNKNOWN: No route of the host matches the path, or the one that
            does has other responses.
        """
        route = self.match_route(host, path)
        if isinstance(route, Failure) or route.kind in UNARY_KINDS:
            return route
        return Failure(
            ResultCode.ROUTE_UNKNOWN, "The path's route has no unary responses."
        )

    def has_public_batch_route(self, host: str) -> bool:
        """Returns whether batches of the host need no API key."""
        return any(
            route.is_public and route.kind is RouteKind.BATCH
            for route in self.routes_by_host.get(host, ())
        )

    def authenticate(
        self, route: Route, key: str
    ) -> ClientAccount | Failure | None:
        """Returns the client account that a request's API key belongs to.

        Returns:
          The account; None if the request carries no valid key and needs none,
          because the route is public or no client accounts exist.

        Errors:
          KEY_MISSING: The request needs a key and carries none.
          KEY_UNKNOWN: The key belongs to no account.
        """
        account = self.account_by_key.get(key)
        if account is not None:
            return account
        if route.is_public or not self.accounts_by_name:
            return None
        return unknown_key_failure() if key else missing_key_failure()


def missing_key_failure() -> Failure:
    """Returns the refusal of a request without an API key."""
    return Failure(ResultCode.KEY_MISSING, "An API key is required.")


def unknown_key_failure() -> Failure:
    """Returns the refusal of a request whose API key is not valid."""
    return Failure(
        ResultCode.KEY_UNKNOWN, "The API key belongs to no client account."
    )

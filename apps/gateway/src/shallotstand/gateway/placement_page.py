"""The page that explains where a request or a batch would go now."""

from collections.abc import Callable, Mapping
from typing import Any

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.placement_report import (
    PlacementQuery,
    explain_placement,
)
from shallotstand.gateway.serving import RequestServing

PATH = "/placement"


class PlacementPage:
    """Answers queries about placement; changes and sends nothing."""

    def __init__(
        self, serving: RequestServing, choose_owner: Callable[[], str]
    ):
        """Creates the page.

        Args:
          serving: The components that serve requests.
          choose_owner: Returns the process that is to run a new batch.
        """
        self._serving = serving
        self._choose_owner = choose_owner

    def answer(self, query: Mapping[str, str]) -> dict[str, Any] | Failure:
        """Returns the report for a query.

        Errors:
          BAD_REQUEST: The query has no host or path, or a malformed number.
          CONFIG_UNCONFIRMED: No configuration has been received yet.
          ROUTE_UNKNOWN: No route matches.
        """
        try:
            wanted = PlacementQuery(
                query["host"].lower(),
                query["path"],
                query.get("account", ""),
                int(query.get("size", 0)),
                query.get("model", ""),
                int(query.get("min_version", 0)),
            )
        except (KeyError, ValueError) as error:
            return Failure(ResultCode.BAD_REQUEST, f"Invalid query: {error!r}")
        configuration = self._serving.request_handler.configuration
        if configuration is None:
            return Failure(
                ResultCode.CONFIG_UNCONFIRMED,
                "No configuration has been received yet.",
            )
        report = explain_placement(
            wanted,
            configuration,
            self._serving.endpoint_registry,
            self._serving.unary_dispatcher.costs,
        )
        if isinstance(report, Failure):
            return report
        return {**report, "new_batch_runs_at": self._choose_owner()}

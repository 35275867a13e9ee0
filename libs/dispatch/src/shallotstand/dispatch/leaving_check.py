"""Asks endpoints whether they still leave.

A faulty endpoint, or a proxy before it, may have said so by mistake. Without a
request it has no occasion to take that back.
"""

import asyncio

from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import EndpointClient
from shallotstand.dispatch.endpoints import EndpointRegistry

# How often endpoints that are due to be asked are looked for.
REVIEW_INTERVAL_S = 1.0


class LeavingCheck:
    """Asks endpoints that are listed as ready and have said that they leave."""

    def __init__(
        self, endpoint_registry: EndpointRegistry, client: EndpointClient
    ):
        self._endpoint_registry = endpoint_registry
        self._client = client

    async def run(self) -> None:
        """Asks endpoints until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            await self.review()

    async def review(self) -> None:
        """Asks the endpoints that are due."""
        leaving = self._endpoint_registry.leaving
        due = [
            endpoint
            for endpoint in self._endpoint_registry.by_id.values()
            if not endpoint.is_leaving
            and not self._endpoint_registry.zone_limits.is_evacuated(endpoint)
            and leaving.should_ask(endpoint)
        ]
        await asyncio.gather(*map(self._ask, due))

    async def _ask(self, endpoint: Endpoint) -> None:
        report = await self._client.fetch_report(endpoint)
        if isinstance(report, Failure) or report.is_leaving:
            return
        if report.started_ms == endpoint.started_ms:
            self._endpoint_registry.retract_leaving(endpoint)

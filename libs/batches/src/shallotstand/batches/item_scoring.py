"""Has the text of an item scored."""

import asyncio
from collections.abc import Callable

from shallotstand.batches.records import ScoringRequest
from shallotstand.core.clock import Clock
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Configuration
from shallotstand.dispatch.endpoint_client import EndpointRequest
from shallotstand.dispatch.plain import UnaryDispatcher

# Delay before a failed scoring request is repeated.
SCORE_RETRY_DELAY_S = 0.1
# Delay before a scoring request looks again for a route that the configuration
# lacks.
ROUTE_RETRY_DELAY_S = 0.2


async def score_item(
    scorer: ScoringRequest,
    dispatcher: UnaryDispatcher,
    configuration: Callable[[], Configuration],
    clock: Clock,
) -> str | None:
    """Sends a scoring request until it succeeds, without a time limit.

    Args:
      scorer: The request.
      dispatcher: Sends it to endpoints.
      configuration: Returns the current configuration.
      clock: Source of time.

    Returns:
      The scorer's signature; None after the `max_attempts` errors of its route.
    """
    error_count = 0
    while True:
        route = configuration().match_unary_route(scorer.host, scorer.target)
        if isinstance(route, Failure):
            await asyncio.sleep(ROUTE_RETRY_DELAY_S)
            continue
        served = await dispatcher.serve(
            route,
            EndpointRequest(
                "POST",
                scorer.target,
                scorer.host,
                (),
                scorer.body,
                scorer.id,
                None,
                is_repeatable=True,
            ),
            clock.monotonic(),
            route.timeout_s,
        )
        response = served.outcome
        if not isinstance(response, Failure) and response.is_success:
            return response.signature
        error_count += served.failed_attempt_count
        if error_count >= route.max_attempts:
            return None
        await asyncio.sleep(SCORE_RETRY_DELAY_S)

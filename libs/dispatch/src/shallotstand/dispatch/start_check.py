"""Checks that an endpoint runs the software that its entry names.

An endpoint may start again under its identifier with other software, and this
process may not have heard of it. What two versions of software generate does
not fit together, so a stream must not go on there.
"""

from collections.abc import Callable

from absl import logging
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoint_client import EndpointClient


class StartCheck:
    """Compares the start that an endpoint reports with that of its entry.

    Attributes:
      is_list_current: Returns whether the store has lately confirmed the list
        of endpoints.
      on_outdated_list: Called when an endpoint reports another start than that
        of its entry.
    """

    def __init__(self, client: EndpointClient):
        self._client = client
        self.is_list_current: Callable[[], bool] = lambda: True
        self.on_outdated_list: Callable[[], None] = lambda: None

    async def find_restart(self, endpoint: Endpoint) -> Failure | None:
        """Returns a Failure unless the endpoint has the start of its entry.

        Called while a response of the endpoint arrives, it tells of the start
        that gives the response: an endpoint that starts again breaks its
        connections off. Where the endpoint does not tell, its entry counts if
        it is current.

        Errors:
          ENDPOINT_RESTARTED: The endpoint has another start, or may have.
        """
        if not endpoint.started_ms:
            # The entry names no start.
            return None
        report = await self._client.fetch_report(endpoint)
        is_unknown = isinstance(report, Failure)
        if not is_unknown and report.started_ms == endpoint.started_ms:
            return None
        if (
            is_unknown
            and report.code != ResultCode.ENDPOINT_REFUSED
            and self.is_list_current()
        ):
            return None
        self.on_outdated_list()
        logs.event(
            logging.INFO,
            "Endpoint may have started again",
            endpoint=endpoint.id,
            listed_ms=endpoint.started_ms,
            reported_ms=None if is_unknown else report.started_ms,
            reason=report.reason if is_unknown else "",
        )
        return Failure(
            ResultCode.ENDPOINT_RESTARTED,
            "The endpoint is not known to run the software of its entry.",
        )

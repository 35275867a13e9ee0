"""Origins of streams, by plans and records in the store."""

import asyncio
import collections
from collections.abc import Callable, Sequence

from absl import logging
from shallotstand.core import logs, rendezvous
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route
from shallotstand.dispatch.endpoint import Endpoint
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.stream_origins import StreamOrigin
from shallotstand.dispatch.stream_plan import SHARES
from shallotstand.documents.protocols import DocumentStore
from shallotstand.peers.origin_records import OriginRecord, OriginRecords
from shallotstand.peers.stream_plans import StreamPlans

# How often the plans in use are read and compared with the endpoints.
PLAN_INTERVAL_S = 3.0
# Longest wait for the store before a stream is refused.
STORE_TIMEOUT_S = 0.8
# Own streams that are remembered beside the records.
MAX_OWN_STREAMS = 20_000


class StoredStreamOrigins:
    """Implements `StreamOrigins` by documents in the store.

    A service has a plan, which tells the version of a stream from its
    identifier. Streams for which that does not hold are recorded in a document
    of the process that begins them.

    Attributes:
      is_preferred_owner: Returns whether this process is responsible for a
        task, of which the plans of services are some.
    """

    def __init__(
        self,
        store: DocumentStore,
        endpoint_registry: EndpointRegistry,
        instance: str,
        clock: Clock,
    ):
        """Creates the origins of a process.

        Args:
          store: The store.
          endpoint_registry: The endpoints.
          instance: Name of the instance that the process runs on; the document
            written by earlier processes of the instance is reused.
          clock: Source of time.
        """
        self.is_preferred_owner: Callable[[str], bool] = lambda _: True
        self._clock = clock
        self._plans = StreamPlans(store, endpoint_registry, clock)
        self._records = OriginRecords(store, instance, clock)
        self._own_streams: collections.OrderedDict[str, StreamOrigin] = (
            collections.OrderedDict()
        )

    async def run(self) -> None:
        """Keeps the plans in use up to date until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            await self._plans.refresh(self.is_preferred_owner)

    async def begin(
        self, stream_id: str, route: Route, candidates: Sequence[Endpoint]
    ) -> StreamOrigin | Failure:
        """Chooses where a stream begins; see `StreamOrigins`."""
        stream_id = _encodable(stream_id)
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await self._choose(stream_id, route, candidates)
        except TimeoutError:
            return _NO_ANSWER

    async def find(
        self, stream_id: str, route: Route
    ) -> StreamOrigin | Failure:
        """Returns where a stream began; see `StreamOrigins`."""
        if not stream_id:
            return _unknown("The request does not name the stream's start.")
        stream_id = _encodable(stream_id)
        if stream_id in self._own_streams:
            return self._own_streams[stream_id]
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await self._find_in_store(stream_id, route)
        except TimeoutError:
            return _NO_ANSWER

    async def _choose(
        self, stream_id: str, route: Route, candidates: Sequence[Endpoint]
    ) -> StreamOrigin | Failure:
        origins = list(map(StreamOrigin.from_endpoint, candidates))
        service = _service_of(route, stream_id)
        if service not in {origin.service for origin in origins}:
            return await self._record(stream_id, origins[0])
        plan = await self._plans.get(service)
        if isinstance(plan, Failure):
            return _unknown(plan.reason)
        planned = StreamOrigin(service, plan.current.version_of(stream_id))
        origin = planned if planned in origins else origins[0]
        if (
            origin.service != service
            or not self._plans.is_confirmed(service)
            or plan.is_recorded(
                stream_id, origin.software_version, self._clock.wall()
            )
        ):
            return await self._record(stream_id, origin)
        self._remember(stream_id, origin)
        return origin

    async def _find_in_store(
        self, stream_id: str, route: Route
    ) -> StreamOrigin | Failure:
        records = await self._records.read_all()
        if isinstance(records, Failure):
            return _unknown(records.reason)
        if stream_id in records:
            return records[stream_id]
        service = _service_of(route, stream_id)
        # Periods that began while this process stood still, or was cut off from
        # the store, are missing from the plan that it knows.
        plan = await self._plans.get(
            service, may_create=False, must_be_confirmed=True
        )
        if isinstance(plan, Failure):
            return _unknown(plan.reason)
        return StreamOrigin(
            service, plan.unrecorded_version(stream_id, self._clock.wall())
        )

    def _remember(self, stream_id: str, origin: StreamOrigin) -> None:
        self._own_streams[stream_id] = origin
        if len(self._own_streams) > MAX_OWN_STREAMS:
            self._own_streams.popitem(last=False)

    async def _record(
        self, stream_id: str, origin: StreamOrigin
    ) -> StreamOrigin | Failure:
        """Writes the origin of a stream, together with others."""
        failure = await self._records.add(
            stream_id, OriginRecord(**origin._asdict(), at=self._clock.wall())
        )
        if failure is not None:
            return _unknown(failure.reason)
        logs.event(
            logging.INFO,
            "Stream recorded",
            request=stream_id,
            service=origin.service,
            software_version=origin.software_version,
        )
        self._remember(stream_id, origin)
        return origin


def _service_of(route: Route, stream_id: str) -> str:
    """Returns the service of a route that is to begin a stream."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    return max(
        (rendezvous.weight(stream_id, f"{target.service}/{number}"), target)
        for target in route.targets
        for number in range(max(1, round(SHARES * target.weight / total)))
    )[1].service


def _encodable(stream_id: str) -> str:
    # Headers of callers may have bytes that are no text.
    return stream_id.encode("utf-8", "backslashreplace").decode()


def _unknown(reason: str) -> Failure:
    return Failure(ResultCode.STREAM_ORIGIN_UNKNOWN, reason)


_NO_ANSWER = _unknown("The store did not answer in time.")

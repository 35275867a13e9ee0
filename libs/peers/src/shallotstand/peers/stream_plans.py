"""Plans that tell which software version begins a stream."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from absl import logging
from shallotstand.core import logs
from shallotstand.core.clock import Clock
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.stream_plan import (
    MAX_PLAN_AGE_S,
    SHARES,
    Period,
    StreamPlan,
    is_outdated,
    observe_shares,
)
from shallotstand.documents.protocols import (
    MALFORMED_CONTENT,
    Document,
    DocumentStore,
)

PLANS_KIND = "stream-plans"
# A plan changes once the endpoints have differed from it in this many
# comparisons in a row: crashed endpoints are back after seconds.
COMPARISONS_TO_CHANGE = 2


class _StoredPlan(NamedTuple):
    plan: StreamPlan
    revision: int
    confirmed_at: float


class StreamPlans:
    """The plans of the services whose streams this process serves."""

    def __init__(
        self,
        store: DocumentStore,
        endpoint_registry: EndpointRegistry,
        clock: Clock,
    ):
        self._store = store
        self._endpoint_registry = endpoint_registry
        self._clock = clock
        self._stored_by_service: dict[str, _StoredPlan] = {}
        self._difference_count_by_service: dict[str, int] = {}
        self._read_lock = asyncio.Lock()

    async def get(
        self,
        service: str,
        may_create: bool = True,
        must_be_confirmed: bool = False,
    ) -> StreamPlan | Failure:
        """Returns the plan of a service as last read.

        Args:
          service: The service.
          may_create: Whether to create the plan if there is none.
          must_be_confirmed: Whether to read it again if that was too long ago.

        Errors:
          OBJECT_NOT_FOUND: There is no plan.
          OBJECT_SYNTAX: The plan can't be read.
          STORE_UNAVAILABLE, OUTCOME_UNKNOWN: The store does not answer.
        """
        async with self._read_lock:
            if service not in self._stored_by_service or (
                must_be_confirmed and not self.is_confirmed(service)
            ):
                outcome = await self._read(service, may_create)
                if isinstance(outcome, Failure):
                    return outcome
            return self._stored_by_service[service].plan

    def is_confirmed(self, service: str) -> bool:
        """Returns whether a plan was read lately enough to be followed."""
        stored = self._stored_by_service[service]
        return self._clock.monotonic() - stored.confirmed_at < MAX_PLAN_AGE_S

    async def refresh(self, is_preferred_owner: Callable[[str], bool]) -> None:
        """Reads the plans in use again, and changes outdated ones.

        Args:
          is_preferred_owner: Returns whether this process is the one that
            changes a plan.
        """
        for service in list(self._stored_by_service):
            document = await self._store.get(
                PLANS_KIND, service, may_be_stale=True
            )
            failure = self._take(service, document)
            if failure is None and is_preferred_owner(f"plan of {service}"):
                await self._change_if_outdated(service)

    async def _read(self, service: str, may_create: bool) -> Failure | None:
        document = await self._store.get(PLANS_KIND, service)
        if (
            may_create
            and isinstance(document, Failure)
            and document.code == ResultCode.OBJECT_NOT_FOUND
        ):
            shares = observe_shares(self._endpoint_registry.active(service))
            if not shares:
                return document
            period = Period(shares, self._clock.wall())
            document = await self._store.create(
                PLANS_KIND, service, _to_spec(StreamPlan((period,)))
            )
            if isinstance(document, Failure):
                # Another process may have created it.
                document = await self._store.get(PLANS_KIND, service)
        return self._take(service, document)

    def _take(
        self, service: str, document: Document | Failure
    ) -> Failure | None:
        """Takes over a plan from the store unless a newer one is known."""
        if isinstance(document, Failure):
            return document
        known = self._stored_by_service.get(service)
        if known is not None and document.revision < known.revision:
            return None
        try:
            plan = _from_spec(document.spec)
        except MALFORMED_CONTENT as error:
            logs.event(
                logging.ERROR,
                "Plan of streams can't be read",
                service=service,
                revision=document.revision,
                error=repr(error),
            )
            return Failure(ResultCode.OBJECT_SYNTAX, f"plan: {error!r}")
        if known is None or known.revision != document.revision:
            logs.event(
                logging.INFO,
                "Plan of streams in force",
                service=service,
                shares=plan.current.share_by_version,
                periods=len(plan.periods),
                revision=document.revision,
            )
        self._stored_by_service[service] = _StoredPlan(
            plan, document.revision, self._clock.monotonic()
        )
        return None

    async def _change_if_outdated(self, service: str) -> None:
        stored = self._stored_by_service[service]
        shares = observe_shares(self._endpoint_registry.active(service))
        if not is_outdated(stored.plan.current, shares):
            self._difference_count_by_service.pop(service, None)
            return
        count = self._difference_count_by_service.get(service, 0) + 1
        self._difference_count_by_service[service] = count
        if count < COMPARISONS_TO_CHANGE:
            return
        plan = stored.plan.with_period(Period(shares, self._clock.wall()))
        document = await self._store.replace(
            PLANS_KIND, service, _to_spec(plan), stored.revision
        )
        self._take(service, document)


def _to_spec(plan: StreamPlan) -> dict[str, Any]:
    return {"periods": [period._asdict() for period in plan.periods]}


def _from_spec(spec: Any) -> StreamPlan:
    """Decodes a plan.

    Raises:
      AttributeError, KeyError, OverflowError, TypeError, ValueError: It is
        malformed.
    """
    periods = tuple(
        Period(
            {
                str(version): min(2 * SHARES, int(share))
                for version, share in fields["share_by_version"].items()
            },
            float(fields["began_at"]),
        )
        for fields in spec["periods"]
    )
    if not periods or not all(
        any(e.share_by_version.values()) for e in periods
    ):
        raise ValueError("a period has no shares")
    return StreamPlan(periods)

"""Handles requests to retire instances."""

import asyncio
from typing import NamedTuple, Protocol

from absl import logging
from shallotstand.core import logs
from shallotstand.core.failure import Failure
from shallotstand.duties.lease import DutyLease

POLL_INTERVAL_S = 0.3


class Retirement(NamedTuple):
    """A request to retire an instance: to drain it before its removal.

    Attributes:
      instance: Name of the instance.
      revision: Revision of the store at which the request last changed.
      is_done: Whether the instance has been reported as drained.
    """

    instance: str
    revision: int
    is_done: bool


class RetirementReporter(Protocol):
    """Reports the completion of retirements."""

    async def mark_done(self, retirement: Retirement) -> Failure | None:
        """Reports that the instance is drained and can be removed."""
        ...


class RetirementHandler:
    """Reports instances as drained while this process holds the lease.

    Instances store nothing on their disks, so an instance is drained once its
    process does not hold the lease.
    """

    def __init__(
        self, reporter: RetirementReporter, lease: DutyLease, instance: str
    ):
        self._reporter = reporter
        self._lease = lease
        self._instance = instance
        self._pending_by_instance: dict[str, Retirement] = {}

    def receive_retirement(self, retirement: Retirement) -> None:
        """Adds or updates a request; drops it if it is done."""
        if retirement.is_done:
            self._pending_by_instance.pop(retirement.instance, None)
        else:
            self._pending_by_instance[retirement.instance] = retirement

    async def run(self) -> None:
        """Processes pending requests until cancelled."""
        while True:
            for retirement in list(self._pending_by_instance.values()):
                await self._process(retirement)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _process(self, retirement: Retirement) -> None:
        if not self._lease.is_held:
            return
        if retirement.instance == self._instance:
            # The next holder of the lease reports the completion.
            await self._lease.resign()
            return
        failure = await self._reporter.mark_done(retirement)
        logs.event(
            logging.INFO,
            "Retirement answered",
            node=retirement.instance,
            code=int(failure.code) if failure else 0,
        )
        if failure is None:
            self._pending_by_instance.pop(retirement.instance, None)

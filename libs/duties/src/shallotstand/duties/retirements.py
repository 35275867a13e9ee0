"""Answers requests to empty a machine that stores data."""

import asyncio
from typing import NamedTuple, Protocol

from absl import logging
from shallotstand.core import logs
from shallotstand.core.failure import Failure
from shallotstand.duties.lease import DutyLease

LOOK_S = 0.3


class Retirement(NamedTuple):
    """A request to empty a machine.

    Attributes:
      node: Name of the machine.
      revision: Revision of the request.
      is_done: Whether it was answered.
    """

    node: str
    revision: int
    is_done: bool


class RetirementDesk(Protocol):
    """Where such requests are answered."""

    async def mark_done(self, retirement: Retirement) -> Failure | None:
        """Says that the machine is empty and can be taken away."""
        ...


class Retirements:
    """Machines that are to be emptied.

    Nothing is kept on their disks, so a machine is empty as soon as its
    process carries no duty.
    """

    def __init__(self, desk: RetirementDesk, lease: DutyLease, node: str):
        self._desk = desk
        self._lease = lease
        self._node = node
        self._open_by_node: dict[str, Retirement] = {}

    def take(self, retirement: Retirement) -> None:
        """Takes a request, or a change of one."""
        if retirement.is_done:
            self._open_by_node.pop(retirement.node, None)
        else:
            self._open_by_node[retirement.node] = retirement

    async def run(self) -> None:
        """Answers until cancelled."""
        while True:
            for retirement in list(self._open_by_node.values()):
                await self._answer(retirement)
            await asyncio.sleep(LOOK_S)

    async def _answer(self, retirement: Retirement) -> None:
        if not self._lease.is_held:
            return
        if retirement.node == self._node:
            # The next holder answers.
            await self._lease.resign()
            return
        failure = await self._desk.mark_done(retirement)
        logs.event(
            logging.INFO,
            "Retirement answered",
            node=retirement.node,
            code=int(failure.code) if failure else 0,
        )
        if failure is None:
            self._open_by_node.pop(retirement.node, None)

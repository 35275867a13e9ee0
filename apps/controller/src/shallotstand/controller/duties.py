"""What a controller does for each scope that it holds."""

import asyncio
from typing import Protocol

from absl import logging
from shallotstand.control.scopes import HeldScope, ScopeKeeper
from shallotstand.core import logs


class Duty(Protocol):
    """Work of the holder of a scope, such as giving its orders.

    Endpoint ordering and weight distribution are duties for `zone/` and
    `service/` scopes; they give orders by `OrderDesk.give`.
    """

    async def run(self, held: HeldScope) -> None:
        """Works until cancelled, which is when the scope is lost.

        Whatever the duty still gives then is refused by the epoch.
        """
        ...


class DutyRoster:
    """Runs one task for each scope held whose kind has a duty."""

    def __init__(self, keeper: ScopeKeeper, duties_by_kind: dict[str, Duty]):
        """Initializes without any task.

        Args:
          keeper: Scopes of this process.
          duties_by_kind: Duty by the first part of the scope's name.
        """
        self._keeper = keeper
        self._duties_by_kind = duties_by_kind
        self._tasks_by_held: dict[HeldScope, asyncio.Task] = {}

    async def settle(self) -> None:
        """Starts the duties of new scopes and ends those of lost ones."""
        held_now = set(self._keeper.held_by_name.values())
        # A duty that failed starts again with the next round.
        failed = {h for h, task in self._tasks_by_held.items() if task.done()}
        await self._end(failed)
        await self._end(set(self._tasks_by_held) - held_now)
        for held in held_now - set(self._tasks_by_held):
            duty = self._duties_by_kind.get(held.name.partition("/")[0])
            if duty is not None:
                self._tasks_by_held[held] = asyncio.create_task(
                    _run(duty, held)
                )

    async def close(self) -> None:
        """Ends all duties."""
        await self._end(set(self._tasks_by_held))

    async def _end(self, lost: set[HeldScope]) -> None:
        tasks = [self._tasks_by_held.pop(held) for held in lost]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run(duty: Duty, held: HeldScope) -> None:
    logs.event(logging.INFO, "Scope held", scope=held.name, epoch=held.epoch)
    try:
        await duty.run(held)
    except Exception as error:  # a fault in one duty must not stop the others
        logs.event(
            logging.ERROR, "Duty failed", scope=held.name, error=repr(error)
        )
        raise

"""Runs the duties of the scopes that a controller holds."""

import asyncio
from typing import Protocol

from absl import logging
from shallotstand.control.scopes import HeldScope, ScopeKeeper
from shallotstand.core import logs


class Duty(Protocol):
    """Work that the holder of a scope does, such as sending its orders.

    Duties for `zone/` and `service/` scopes, such as ordering more endpoints
    and distributing weights, send orders with `OrderSender.send_order`.
    """

    async def run(self, held_scope: HeldScope) -> None:
        """Runs until cancelled, which happens when the scope is lost.

        Receivers refuse an order that the duty sends after the loss, since
        the epoch of the order is outdated.
        """
        ...


class DutyRunner:
    """Runs one task for each held scope whose kind has a duty."""

    def __init__(
        self, scope_keeper: ScopeKeeper, duties_by_kind: dict[str, Duty]
    ):
        """Initializes the runner without any task.

        Args:
          scope_keeper: Holds the scopes of this process.
          duties_by_kind: Duty by the first part of the scope's name.
        """
        self._scope_keeper = scope_keeper
        self._duties_by_kind = duties_by_kind
        self._tasks_by_scope: dict[HeldScope, asyncio.Task] = {}

    async def update_tasks(self) -> None:
        """Starts the duties of new scopes and ends those of lost scopes."""
        held_scopes = set(self._scope_keeper.held_by_name.values())
        # A failed duty is started again.
        failed_scopes = {
            scope for scope, task in self._tasks_by_scope.items() if task.done()
        }
        await self._cancel_tasks(failed_scopes)
        await self._cancel_tasks(set(self._tasks_by_scope) - held_scopes)
        for held_scope in held_scopes - set(self._tasks_by_scope):
            duty = self._duties_by_kind.get(held_scope.name.partition("/")[0])
            if duty is not None:
                self._tasks_by_scope[held_scope] = asyncio.create_task(
                    _run_duty(duty, held_scope)
                )

    async def close(self) -> None:
        """Ends all duties."""
        await self._cancel_tasks(set(self._tasks_by_scope))

    async def _cancel_tasks(self, scopes: set[HeldScope]) -> None:
        tasks = [self._tasks_by_scope.pop(scope) for scope in scopes]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_duty(duty: Duty, held_scope: HeldScope) -> None:
    logs.event(
        logging.INFO,
        "Scope held",
        scope=held_scope.name,
        epoch=held_scope.epoch,
    )
    try:
        await duty.run(held_scope)
    except Exception as error:  # one failed duty must not stop the others
        logs.event(
            logging.ERROR,
            "Duty failed",
            scope=held_scope.name,
            error=repr(error),
        )
        raise

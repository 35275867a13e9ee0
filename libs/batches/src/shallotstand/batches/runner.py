"""Runs the batches that this process owns."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from absl import logging
from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.checkpoints import Checkpoints
from shallotstand.batches.item_run import ItemRun, ItemRunDependencies
from shallotstand.batches.peer_reads import RunningBatch
from shallotstand.batches.progress import Progress, ProgressCache
from shallotstand.batches.records import Item, Result, ResultState, text_key
from shallotstand.batches.registry import Batch, BatchRegistry
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.dispatch.config import Route

# Results that arrive within this time are listed in one entry, since every
# write to the store is billed, and so is every watch that reports it.
LISTING_DELAY_S = 0.15
# Once at most this share of a batch's items has no listed result, results are
# listed after FINAL_LISTING_DELAY_S instead, since trainers wait for them.
FINAL_ITEMS_SHARE = 0.3
FINAL_LISTING_DELAY_S = 0.03
# Interval at which this process checks which batches it should run.
REVIEW_INTERVAL_S = 0.25
# A batch that no process runs and no peer has claimed is read and, if it is
# open, taken over once this time has passed. Its owner normally claims it
# within 0.5 s.
UNCLAIMED_TIMEOUT_S = 1.2


class Ownership(Protocol):
    """Decides which process runs a batch."""

    def should_run(self, batch: Batch) -> bool:
        """Returns whether this process should run the batch now."""
        ...

    def may_take_over(self, batch_id: str) -> bool:
        """Returns whether this process may take over a batch.

        It may if no process runs the batch and this process is its preferred
        owner.
        """
        ...

    def was_claimed(self, batch_id: str) -> bool:
        """Returns whether the latest report of a peer claims a batch.

        Reports of peers that are no longer available count, too.
        """
        ...


class BatchRunner:
    """Starts, supervises and stops the batch runs of this process."""

    def __init__(
        self,
        dependencies: ItemRunDependencies,
        batch_registry: BatchRegistry,
        log: BatchLog,
        ownership: Ownership,
        checkpoints: Checkpoints,
        process_id: str,
        load: Callable[[str], Awaitable[Batch | Failure]],
    ):
        """Creates the runner of a process.

        Args:
          dependencies: The components that all item runs share.
          batch_registry: The batches known to this process.
          log: The batch log.
          ownership: Decides which batches this process runs.
          checkpoints: Checkpoints of the texts of unfinished items.
          process_id: Identifier of this process.
          load: Reads a batch that is not in the registry.
        """
        self._dependencies = dependencies
        self._batch_registry = batch_registry
        self._log = log
        self._ownership = ownership
        self._checkpoints = checkpoints
        self._process_id = process_id
        self._load = load
        self._progress_cache = ProgressCache()
        self._tasks_by_batch: dict[str, asyncio.Task] = {}
        # Batches that have waited here for a newer configuration.
        self._delayed_ids: set[str] = set()
        # Batches that a peer has handed on with their texts.
        self._handed_on_ids: set[str] = set()
        self._abandoned_since: dict[str, float] = {}
        self._is_running = False
        batch_registry.subscribe(self._review)

    def claimed_batch_ids(self) -> tuple[str, ...]:
        """Returns the identifiers of the batches that this process claims.

        These are the batches that this process runs and those that are no
        longer open and whose results it has read. An open batch whose run has
        failed is left out, so that another process can take it over.
        """
        return tuple(
            batch.id
            for batch in self._batch_registry.by_id.values()
            if self.is_running_batch(batch.id)
            or (batch.results_entries and not batch.is_open)
        )

    def is_running_batch(self, batch_id: str) -> bool:
        """Returns whether this process runs a batch."""
        return batch_id in self._tasks_by_batch

    async def run(self) -> None:
        """Starts and stops batch runs until cancelled.

        The whole log must be read first; otherwise the process would run
        batches that have ended.
        """
        self._is_running = True
        while True:
            for batch in list(self._batch_registry.by_id.values()):
                self._review(batch)
            await self._load_abandoned()
            await asyncio.sleep(REVIEW_INTERVAL_S)

    async def stop(self) -> list[RunningBatch]:
        """Cancels all runs; other processes are to run the batches.

        Returns:
          The open batches that ran here, with the texts of their items.
        """
        self._is_running = False
        tasks_by_batch = dict(self._tasks_by_batch)
        for task in tasks_by_batch.values():
            task.cancel()
        await asyncio.gather(*tasks_by_batch.values(), return_exceptions=True)
        batches = (
            self._batch_registry.by_id.get(batch_id)
            for batch_id in tasks_by_batch
        )
        return [
            RunningBatch(batch, self._pop_texts(batch))
            for batch in batches
            if batch is not None and batch.is_open
        ]

    def take_texts(self, running: RunningBatch) -> None:
        """Takes the texts of a batch that a peer has run and hands on."""
        items_by_id = running.batch.items_by_id
        for item_id, progress in running.progress_by_item.items():
            if item_id in items_by_id:
                self._progress_cache.put(
                    _text_key(running.batch, items_by_id[item_id]), progress
                )
        self._handed_on_ids.add(running.batch.id)

    def _pop_texts(self, batch: Batch) -> dict[str, Progress]:
        texts = {
            item.id: self._progress_cache.pop(_text_key(batch, item))
            for item in batch.unlisted_items()
        }
        return {
            item_id: progress
            for item_id, progress in texts.items()
            if progress.events
        }

    async def _load_abandoned(self) -> None:
        """Reads the batches that no process seems to run.

        Only their identifiers are known so far. Once a batch is read, the next
        review decides whether to run it.
        """
        now = self._dependencies.clock.monotonic()
        abandoned = {
            batch_id
            for batch_id in self._batch_registry.unread_ids
            if self._log.has_unconfirmed_submission(batch_id)
            or self._ownership.may_take_over(batch_id)
        }
        self._abandoned_since = {
            batch_id: self._abandoned_since.get(batch_id, now)
            for batch_id in abandoned
        }
        for batch_id, since in self._abandoned_since.items():
            was_claimed = self._ownership.was_claimed(batch_id)
            if not was_claimed and now - since < UNCLAIMED_TIMEOUT_S:
                continue
            batch = await self._load(batch_id)
            failed = isinstance(batch, Failure)
            logs.event(
                logging.INFO,
                "Batch that nobody runs was read",
                batch=batch_id,
                owner="" if failed else batch.submission.owner,
                is_complete=not failed and batch.is_complete,
                was_claimed=was_claimed,
                code=int(batch.code) if failed else 0,
            )
            if failed and batch.code == ResultCode.BATCH_UNKNOWN:
                self._batch_registry.unread_ids.discard(batch_id)

    def _review(self, batch: Batch) -> None:
        task = self._tasks_by_batch.get(batch.id)
        if not batch.is_open:
            if task is not None and batch.is_ended:
                task.cancel()
            self._delayed_ids.discard(batch.id)
            return
        if task is not None or not self._is_running:
            return
        if self._has_older_configuration(batch):
            self._record_delay(batch)
            return
        if not self._ownership.should_run(batch):
            return
        logs.event(
            logging.INFO,
            "Batch runs here",
            batch=batch.id,
            first_owner=batch.submission.owner,
            items=len(batch.items_by_id),
            listed=len(batch.listed_ids),
            min_version=batch.submission.min_version,
            config_version=self._dependencies.configuration().version,
        )
        task = asyncio.create_task(self._run_batch(batch))
        self._tasks_by_batch[batch.id] = task
        task.add_done_callback(lambda done: self._handle_run_end(batch, done))

    def _has_older_configuration(self, batch: Batch) -> bool:
        """Returns whether a peer accepted a batch under a newer configuration.

        Its route, the services behind it and its limits are not known then.
        """
        configuration = self._dependencies.configuration()
        return (
            configuration is None
            or configuration.version < batch.submission.config_version
        )

    def _record_delay(self, batch: Batch) -> None:
        if batch.id in self._delayed_ids:
            return
        self._delayed_ids.add(batch.id)
        configuration = self._dependencies.configuration()
        logs.event(
            logging.INFO,
            "Batch waits for a newer configuration",
            batch=batch.id,
            owner=batch.submission.owner,
            accepted_under=batch.submission.config_version,
            config_version=configuration.version if configuration else 0,
        )

    def _handle_run_end(self, batch: Batch, task: asyncio.Task) -> None:
        del self._tasks_by_batch[batch.id]
        error = None if task.cancelled() else task.exception()
        logs.event(
            logging.ERROR if error else logging.INFO,
            "Batch no longer runs here",
            batch=batch.id,
            listed=len(batch.listed_ids),
            items=len(batch.items_by_id),
            ended=batch.is_ended,
            error=repr(error) if error else "",
        )

    async def _run_batch(self, batch: Batch) -> None:
        is_handed_on = batch.id in self._handed_on_ids
        self._handed_on_ids.discard(batch.id)
        if (
            batch.submission.owner != self._process_id
            or batch.id in self._delayed_ids
        ):
            # The batch may have run elsewhere, and its end may not have reached
            # this process yet.
            await self._refresh_batch(batch)
            await self._load_progress(batch)
        finished: asyncio.Queue[Result] = asyncio.Queue()
        async with asyncio.TaskGroup() as group:
            tasks_by_item = {
                item.id: group.create_task(
                    self._run_item(batch, item, finished)
                )
                for item in batch.unlisted_items()
            }
            listing_task = group.create_task(
                self._list_results(batch, finished)
            )
            if is_handed_on:
                # Its end may have been stored before the peer knew of it.
                refresh_task = group.create_task(self._refresh_batch(batch))
            while batch.is_open:
                await batch.wait_for_change(REVIEW_INTERVAL_S)
                # Another process may run the batch, too, and append results.
                for item_id in batch.listed_ids & tasks_by_item.keys():
                    tasks_by_item.pop(item_id).cancel()
            listing_task.cancel()
            if is_handed_on:
                refresh_task.cancel()
            for task in tasks_by_item.values():
                task.cancel()

    async def _refresh_batch(self, batch: Batch) -> None:
        """Reads whether a batch has ended; retries until the store answers."""
        failure = await self._log.refresh(batch)
        while failure is not None:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            failure = await self._log.refresh(batch)

    async def _load_progress(self, batch: Batch) -> None:
        """Loads the texts of a batch that other processes checkpointed."""
        progress_by_key = await self._checkpoints.load()
        if isinstance(progress_by_key, Failure):
            return
        resumed = {
            key: progress_by_key[key]
            for item in batch.unlisted_items()
            if (key := _text_key(batch, item)) in progress_by_key
        }
        for key, progress in resumed.items():
            self._progress_cache.put(key, progress)
        logs.event(
            logging.INFO,
            "Texts taken over",
            batch=batch.id,
            texts=len(resumed),
            events=sum(len(progress.events) for progress in resumed.values()),
        )

    async def _list_results(
        self, batch: Batch, finished: asyncio.Queue[Result]
    ) -> None:
        while True:
            results = [await finished.get()]
            await asyncio.sleep(_listing_delay_s(batch))
            while not finished.empty():
                results.append(finished.get_nowait())
            started = self._dependencies.clock.monotonic()
            await self._log.append(batch, results)
            logs.event(
                logging.INFO,
                "Results listed",
                batch=batch.id,
                results=len(results),
                listed=len(batch.listed_ids),
                items=len(batch.items_by_id),
                write_s=round(
                    self._dependencies.clock.monotonic() - started, 4
                ),
                age_s=round(self._age_s(batch), 3),
            )

    async def _run_item(
        self, batch: Batch, item: Item, finished: asyncio.Queue[Result]
    ) -> None:
        progress = self._initial_progress(batch, item)
        run = ItemRun(
            self._dependencies,
            batch.submission,
            item,
            progress,
            self._rank(batch, item),
        )
        key = _text_key(batch, item)
        self._checkpoints.track(key, progress)
        try:
            async with asyncio.timeout(self._time_left_s(batch)):
                result = await run.run()
        except TimeoutError:
            logs.event(
                logging.INFO,
                "Item given up",
                batch=batch.id,
                item=item.id,
                reason="time to live exceeded"
                if self._has_route(batch)
                else "no route",
                age_s=round(self._age_s(batch), 3),
                config_version=self._dependencies.configuration().version,
            )
            result = Result(item.id, ResultState.LOST, "", (), "")
        finally:
            self._progress_cache.put(key, progress)
            self._checkpoints.untrack(key)
        finished.put_nowait(result)

    def _initial_progress(self, batch: Batch, item: Item) -> Progress:
        reusable = self._batch_registry.find_reusable_result(item, batch)
        if reusable is None or reusable.state is not ResultState.COMPLETED:
            return self._progress_cache.pop(_text_key(batch, item))
        progress = Progress()
        progress.events = [reusable.text]
        progress.versions = list(reusable.versions)
        progress.is_complete = True
        return progress

    def _rank(self, batch: Batch, item: Item) -> tuple[float, ...]:
        """Returns the rank of an item; the lowest rank gets a slot first.

        Older batches come first. Within a batch, items that a later batch also
        contains come first, then the longest ones. The longest items decide
        when a training step is complete, so they start early.
        """
        is_resubmitted = self._batch_registry.was_resubmitted_later(
            item.id, batch.id
        )
        return (
            batch.submission.submitted_at,
            0.0 if is_resubmitted else 1.0,
            -float(item.size_hint),
        )

    def _time_left_s(self, batch: Batch) -> float:
        route = self._find_route(batch)
        if isinstance(route, Failure):
            return 0.0
        return max(0.0, route.item_ttl_s - self._age_s(batch))

    def _has_route(self, batch: Batch) -> bool:
        return not isinstance(self._find_route(batch), Failure)

    def _find_route(self, batch: Batch) -> Route | Failure:
        return self._dependencies.configuration().match_batch_route(
            batch.submission.host, batch.submission.route_path
        )

    def _age_s(self, batch: Batch) -> float:
        """Returns the seconds since the batch was submitted."""
        return self._dependencies.clock.wall() - batch.submission.submitted_at


def _text_key(batch: Batch, item: Item) -> str:
    return text_key(batch.submission.account, item)


def _listing_delay_s(batch: Batch) -> float:
    unlisted_count = len(batch.items_by_id) - len(batch.listed_ids)
    if unlisted_count <= FINAL_ITEMS_SHARE * len(batch.items_by_id):
        return FINAL_LISTING_DELAY_S
    return LISTING_DELAY_S

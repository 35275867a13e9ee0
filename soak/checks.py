"""The promises, checked from what callers and the platform saw."""

import collections
from collections.abc import Iterator

from shallotstand.standins.fleet import Fleet

from soak.load import ITEMS, Load


def violations(fleet: Fleet, load: Load) -> list[str]:
    """Returns every promise that was broken."""
    return [
        *_plain(fleet, load),
        *load.conflicts,
        *_batches(fleet, load),
        *_duties(fleet),
    ]


def _plain(fleet: Fleet, load: Load) -> Iterator[str]:
    runs = collections.Counter(fleet.plain.runs)
    for told in load.told:
        count = runs[told.request_id]
        if told.is_once and count > 1:
            yield f"{told.request_id}: ran {count} times, may run once"
        if told.is_once and told.status in (408, 421, 429, 503) and count:
            yield f"{told.request_id}: said not to have run, though it had"
        if told.status == 200 and told.body != told.request_id.encode():
            yield f"{told.request_id}: another request's answer"


def _batches(fleet: Fleet, load: Load) -> Iterator[str]:
    engine = fleet.engines[0]
    for name in load.accepted:
        results = load.results_by_batch.get(name, {})
        listed = [result["id"] for result in results.values()]
        if len(set(listed)) != len(listed):
            yield f"{name}: an item stands at two positions"
        if len(listed) < ITEMS:
            yield f"{name}: {len(listed)} of {ITEMS} items at the end"
        for result in results.values():
            if result["state"] != "completed":
                yield f"{name}: {result['id']} is {result['state']}"
            elif result["text"] != engine.text(result["id"]):
                yield f"{name}: {result['id']} has another text"
            elif not result["versions"]:
                yield f"{name}: {result['id']} names no version"
    begun = {run for engine in fleet.engines for run in engine.runs}
    for name in load.refused:
        if any(run.startswith(f"{name}item-") for run in begun):
            yield f"{name}: refused each time, and an item ran"


def _duties(fleet: Fleet) -> Iterator[str]:
    counts_by_window: dict[int, dict[str, int]] = {}
    holder_by_fence: dict[int, str] = {}
    for window, counts, holder, fence in fleet.platform.reports:
        if counts_by_window.setdefault(window, counts) != counts:
            yield f"window {window}: reported with two figures"
        if holder_by_fence.setdefault(fence, holder) != holder:
            yield f"fence {fence}: used by two holders"
    for engine in fleet.engines:
        for holder, fence, _ in engine.orders:
            if holder_by_fence.setdefault(fence, holder) != holder:
                yield f"fence {fence}: used by two holders"

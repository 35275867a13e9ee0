"""Checks of the guarantees against what clients and the platform observed."""

import collections
import itertools
from collections.abc import Iterator, Sequence

from shallotstand.standins.duty_calls import DutyCall
from shallotstand.standins.fleet import TURN_INTERVAL_S, Fleet
from shallotstand.standins.fleet_engine import FleetEngine

from soak.leaving import find_late_requests
from soak.load import ITEMS_PER_BATCH, LoadGenerator

# Calls that were under way when their sender was paused or cut off may arrive
# until this long after it has resumed.
RESUMPTION_SLACK_S = 0.3


def find_violations(
    fleet: Fleet,
    load: LoadGenerator,
    resumed_at: list[tuple[str, float]],
    interrupted_at: Sequence[tuple[str, float]] = (),
) -> list[str]:
    """Returns a description of every violated guarantee.

    Args:
      fleet: The deployment.
      load: What the callers received.
      resumed_at: Machines that resumed after a pause or a fault of their
        links, with the monotonic time.
      interrupted_at: Machines whose process was paused or ended, with the
        monotonic time.
    """
    receivers = (fleet.platform, *fleet.engines)
    return [
        *itertools.chain.from_iterable(
            _call_order_violations(receiver.duty_calls.calls, resumed_at)
            for receiver in receivers
        ),
        *_plain_call_violations(fleet, load),
        *find_late_requests(
            load.passed_answers,
            {
                start: requests
                for engine in _plain_engines(fleet)
                for start, requests in engine.requests_by_start.items()
            },
            interrupted_at,
        ),
        *load.conflicts,
        *_batch_violations(fleet, load),
        *_stream_violations(load),
        *_duty_violations(fleet),
    ]


def _plain_engines(fleet: Fleet) -> list[FleetEngine]:
    return [
        fleet.plain_engine,
        *(one for one in fleet.more_engines if one.service == "plain"),
    ]


def _plain_call_violations(fleet: Fleet, load: LoadGenerator) -> Iterator[str]:
    run_counts = collections.Counter(
        request_id
        for engine in _plain_engines(fleet)
        for request_id in engine.started_requests
    )
    for call in load.call_results:
        count = run_counts[call.request_id]
        if call.is_at_most_once and count > 1:
            yield f"{call.request_id}: ran {count} times, allowed at most once"
        if (
            call.is_at_most_once
            and call.status in (408, 421, 429, 503)
            and count
        ):
            yield f"{call.request_id}: reported as not run, but it ran"
        if call.status == 200 and call.body != call.request_id.encode():
            yield f"{call.request_id}: received another request's response"


def _batch_violations(fleet: Fleet, load: LoadGenerator) -> Iterator[str]:
    engine = fleet.engines[0]
    for batch_id in load.accepted_batches:
        results = load.results_by_batch.get(batch_id, {})
        item_ids = [result["id"] for result in results.values()]
        if len(set(item_ids)) != len(item_ids):
            yield f"{batch_id}: an item is listed at two positions"
        if len(item_ids) < ITEMS_PER_BATCH:
            yield f"{batch_id}: {len(item_ids)} of {ITEMS_PER_BATCH} results"
        for result in results.values():
            if result["state"] != "completed":
                yield f"{batch_id}: {result['id']} is {result['state']}"
            elif result["text"] != engine.item_text(result["id"]):
                yield f"{batch_id}: {result['id']} has an unexpected text"
            elif not result["versions"]:
                yield f"{batch_id}: {result['id']} has no weight version"
    started_requests = {
        request_id
        for engine in fleet.engines
        for request_id in engine.started_requests
    }
    for batch_id in load.refused_batches:
        if any(
            request_id.startswith(f"{batch_id}item-")
            for request_id in started_requests
        ):
            yield f"{batch_id}: refused at every attempt, but an item ran"


def _stream_violations(load: LoadGenerator) -> Iterator[str]:
    for client in load.streams:
        if len(client.software_versions) > 1:
            yield f"{client.events[0]}: joined from two software versions"
        numbers = [event.split()[1] for event in client.events]
        if numbers != [str(number + 1) for number in range(len(numbers))]:
            yield f"{client.events[0]}: an event is missing or stands twice"


def _duty_violations(fleet: Fleet) -> Iterator[str]:
    counts_by_window: dict[int, dict[str, int]] = {}
    holder_by_fence: dict[int, str] = {}
    for window, counts, holder, fence in fleet.platform.reports:
        if counts_by_window.setdefault(window, counts) != counts:
            yield f"window {window}: reported with different counts"
        if holder_by_fence.setdefault(fence, holder) != holder:
            yield f"fencing token {fence}: used by two holders"
    for engine in fleet.engines:
        for holder, fence, _ in engine.accepted_orders:
            if holder_by_fence.setdefault(fence, holder) != holder:
                yield f"fencing token {fence}: used by two holders"


def _call_order_violations(
    calls: list[DutyCall], resumed_at: list[tuple[str, float]]
) -> Iterator[str]:
    """Yields calls out of order, whether their receiver refused them or not."""
    highest_token = 0
    last_call_by_holder: dict[str, float] = {}
    previous_holder = ""
    for call in calls:
        if _has_just_resumed(call, resumed_at):
            continue
        if call.fencing_token < highest_token:
            yield f"{call}: arrived after fencing token {highest_token}"
        highest_token = max(highest_token, call.fencing_token)
        last_call_at = last_call_by_holder.get(call.holder)
        if (
            previous_holder not in ("", call.holder)
            and last_call_at is not None
            and call.arrived_at - last_call_at < TURN_INTERVAL_S
        ):
            yield f"{call}: in turn with {previous_holder}"
        last_call_by_holder[call.holder] = call.arrived_at
        previous_holder = call.holder


def _has_just_resumed(
    call: DutyCall, resumed_at: list[tuple[str, float]]
) -> bool:
    return any(
        node == call.holder and 0 <= call.arrived_at - at <= RESUMPTION_SLACK_S
        for node, at in resumed_at
    )

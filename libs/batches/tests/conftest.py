"""Batches, configuration and in-memory dependencies for the tests."""

import random

import pytest
from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.item_run import ItemRunDependencies
from shallotstand.batches.records import Item, ScoringRequest, Submission
from shallotstand.batches.registry import BatchRegistry
from shallotstand.batches.size_estimate import SizeEstimate
from shallotstand.core.clock import SystemClock
from shallotstand.dispatch.config import (
    ClientAccount,
    Configuration,
    Limits,
    Route,
    RouteKind,
    RouteTarget,
)
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import UnaryDispatcher
from shallotstand.dispatch.slots import SlotPool
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.standins.memory_documents import MemoryDocuments
from shallotstand.standins.memory_engines import MemoryEngines


def route(name: str, kind: RouteKind, service: str, **fields) -> Route:
    return Route(
        **{
            "name": name,
            "host": "host.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "targets": (RouteTarget(service, 1.0),),
            "timeout_s": 1.0,
            "objective_s": 0.2,
            "priority": 0,
            "max_attempts": 3,
            "is_public": True,
            "is_resumable": False,
            "results_due_s": 5.0,
            "item_ttl_s": 20.0,
            "is_single_version": False,
            **fields,
        }
    )


def item(item_id: str, **fields) -> Item:
    return Item(
        **{
            "id": item_id,
            "target": "/rollouts/1",
            "headers": (("X-Own", "1"),),
            "body": b"prompt \xff",
            "group": "group",
            "model": "model",
            "size_hint": 10,
            "scorer": ScoringRequest(
                f"score-{item_id}", "host.example", "/scores/1", b"\x00"
            ),
            **fields,
        }
    )


def submission(batch_id: str, *items: Item, **fields) -> Submission:
    return Submission(
        **{
            "id": batch_id,
            "account": "account",
            "host": "host.example",
            "route_path": "/rollouts/",
            "min_version": 1,
            "target_groups": 1,
            "submitted_at": SystemClock().wall(),
            "owner": "gateway-1",
            "items": items,
            **fields,
        }
    )


class BatchEnvironment:
    """The store, endpoints and dependencies that a batch run needs."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.store = MemoryDocuments()
        self.engines = MemoryEngines()
        self.endpoint_registry = EndpointRegistry("zone-a", clock)
        self.batch_registry = BatchRegistry()
        self.log = BatchLog(self.store, self.batch_registry, clock)
        self.rollouts_route: Route | None = route(
            "rollouts", RouteKind.BATCH, "engines"
        )
        self.config_version = 1
        scoring_dispatcher = UnaryDispatcher(
            self.endpoint_registry, self.engines, clock, random.Random(1)
        )
        self.dependencies = ItemRunDependencies(
            self.endpoint_registry,
            SlotPool(self.endpoint_registry),
            self.engines,
            scoring_dispatcher,
            SizeEstimate(),
            StartCheck(self.engines),
            self.configuration,
            clock,
        )

    def configuration(self) -> Configuration:
        routes = [route("scores", RouteKind.IDEMPOTENT, "plain")]
        if self.rollouts_route is not None:
            routes.append(self.rollouts_route)
        return Configuration.from_parts(
            self.config_version,
            Limits(16384, 1 << 20, 3.0, 15.0),
            routes,
            [ClientAccount("account", frozenset({"key"}), None)],
        )


@pytest.fixture
def environment():
    return BatchEnvironment()

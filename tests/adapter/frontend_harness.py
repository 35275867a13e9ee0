"""HTTP front end for callers with engines and a store in memory."""

import asyncio
import random

import aiohttp
from shallotstand.adapter.http_frontend import (
    HttpFrontend,
    HttpFrontendDependencies,
)
from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.registry import BatchRegistry
from shallotstand.batches.service import BatchService
from shallotstand.core.clock import SystemClock
from shallotstand.core.in_progress_counter import InProgressCounter
from shallotstand.dispatch.config import (
    ClientAccount,
    Configuration,
    Limits,
    Route,
    RouteKind,
    RouteTarget,
)
from shallotstand.dispatch.crash_record import CrashRecord
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.plain import UnaryDispatcher
from shallotstand.dispatch.request_handler import RequestHandler
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.dispatch.usage import UsageMeter
from shallotstand.standins.memory_documents import MemoryDocuments
from shallotstand.standins.memory_engines import (
    MemoryEngines,
    MemoryStreamOrigins,
    make_endpoint,
)
from shallotstand.standins.processes import free_address

KEY_HEADERS = {"Authorization": "Token key"}


def make_route(name, kind, **fields):
    return Route(
        **{
            "name": name,
            "host": "host.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "targets": (RouteTarget("engines", 1.0),),
            "timeout_s": 1.0,
            "objective_s": 0.2,
            "priority": 0,
            "max_attempts": 2,
            "is_public": False,
            "is_resumable": True,
            "results_due_s": 5.0,
            "item_ttl_s": 20.0,
            "is_single_version": False,
            **fields,
        }
    )


ROUTES = [
    make_route("safe", RouteKind.IDEMPOTENT),
    make_route("open", RouteKind.IDEMPOTENT, is_public=True),
    make_route("once", RouteKind.ONCE),
    make_route("stream", RouteKind.STREAM),
    make_route("lots", RouteKind.BATCH),
]


class FrontendHarness:
    """HTTP front end with engines and an object store in memory."""

    def __init__(self):
        clock = SystemClock()
        self.engines = MemoryEngines()
        self.store = MemoryDocuments()
        self.frontend = None
        self.endpoints = EndpointRegistry("zone-a", clock)
        for name in ("e1", "e2"):
            self.endpoints.update_endpoint(make_endpoint(name))
        self.meter = UsageMeter(5.0, clock)
        unary_dispatcher = UnaryDispatcher(
            self.endpoints, self.engines, clock, random.Random(1)
        )
        self.request_handler = RequestHandler(
            self.endpoints,
            self.engines,
            unary_dispatcher,
            self.meter,
            clock,
            CrashRecord(self.endpoints, clock),
            MemoryStreamOrigins(),
            StartCheck(self.engines),
        )
        self.dependencies = HttpFrontendDependencies(
            self.request_handler,
            None,
            InProgressCounter(),
            lambda: "gateway-1",
            clock,
        )
        self.start_without_batches()
        self.configure(ROUTES)

    def start_without_batches(self):
        """Serves batches as a new process does, which knows none of them."""
        clock = self.dependencies.clock
        self.batches = BatchRegistry()
        self.log = BatchLog(self.store, self.batches, clock)
        self.dependencies = self.dependencies._replace(
            batch_service=BatchService(self.batches, self.log, clock)
        )
        if self.frontend is None:
            self.frontend = HttpFrontend(self.dependencies)
        else:
            self.frontend._dependencies = self.dependencies

    def configure(self, routes, keys_by_account=None):
        """Activates a newer configuration."""
        current = self.request_handler.configuration
        keys_by_account = keys_by_account or {"account": ["key"]}
        self.request_handler.update_configuration(
            Configuration.from_parts(
                current.version + 1 if current else 1,
                Limits(16384, 1 << 20, 3.0, 15.0),
                routes,
                [
                    ClientAccount(name, frozenset(keys), None)
                    for name, keys in keys_by_account.items()
                ],
            )
        )


def run_scenario(scenario):
    async def run_with_server():
        harness = FrontendHarness()
        address = free_address()
        server = await harness.frontend.make_app().create_server(
            host=address.host,
            port=address.port,
            return_asyncio_server=True,
            access_log=False,
        )
        await server.startup()
        harness.url = f"http://{address.host}:{address.port}"
        harness.address = address
        async with aiohttp.ClientSession() as session:
            harness.session = session
            try:
                await asyncio.wait_for(scenario(harness), 10)
            finally:
                await server.close()

    asyncio.run(run_with_server())


async def post(
    harness, path, headers=KEY_HEADERS, body=b"body", **extra_headers
):
    async with harness.session.post(
        harness.url + path,
        data=body,
        headers={
            "Host": "host.example",
            "X-Shallotstand-Attempt-Id": "r1",
            **headers,
            **extra_headers,
        },
    ) as response:
        return response, await response.read()


async def get(harness, path, headers=KEY_HEADERS, method="GET"):
    async with harness.session.request(
        method, harness.url + path, headers={"Host": "host.example", **headers}
    ) as response:
        return response.status, await response.read()


BATCH = {
    "step": 1,
    "model": "model",
    "min_version": 1,
    "target_groups": 1,
    "items": [
        {
            "id": "i1",
            "path": "/lots/1/a",
            "headers": {"X-Shallotstand-Model": "model"},
            "body": "q83v",
            "token_count": 9,
            "group": "g1",
            "scorer": {
                "id": "s1",
                "host": "host.example",
                "path": "/safe/1",
                "body": "3q2+",
            },
        }
    ],
}

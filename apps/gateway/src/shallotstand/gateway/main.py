"""Puts the gateway process together and runs it until SIGTERM."""

import asyncio
import random

from absl import logging
from shallotstand.adapter import decode, names
from shallotstand.adapter.boot import BootSettings
from shallotstand.adapter.engines import EngineClient
from shallotstand.adapter.following import take_endpoint
from shallotstand.adapter.front import (
    Front,
    FrontParts,
    make_readiness_app,
)
from shallotstand.adapter.process import run_process, stop_event
from shallotstand.adapter.store import PlatformStore
from shallotstand.batches.book import BatchBook
from shallotstand.batches.checkpoints import Checkpoints
from shallotstand.batches.item_run import Tools
from shallotstand.batches.log import BatchLog
from shallotstand.batches.records import LOG_KIND
from shallotstand.batches.retention import Retention
from shallotstand.batches.runner import BatchRunner
from shallotstand.batches.service import BatchService
from shallotstand.core import logs
from shallotstand.core.activity import Activity
from shallotstand.core.clock import SystemClock
from shallotstand.core.failure import Failure
from shallotstand.dispatch.desk import Desk
from shallotstand.dispatch.endpoints import EndpointBook
from shallotstand.dispatch.plain import PlainService
from shallotstand.dispatch.slots import SlotPool
from shallotstand.dispatch.usage import UsageMeter
from shallotstand.documents.follower import Follower
from shallotstand.documents.protocols import Change
from shallotstand.duties.usage_counts import UsageWriter
from shallotstand.gateway.ownership import MeshOwnership
from shallotstand.link.messages import EndpointUse, Presence
from shallotstand.observe.events import store_call_counter
from shallotstand.observe.metrics import Metrics
from shallotstand.peers.mesh import PeerMesh
from shallotstand.peers.registry import (
    GATEWAYS_KIND,
    PeerAddress,
    PeerRegistry,
)

# Changes of endpoints that come within this time cost one call; an endpoint
# that leaves has to be left alone within two seconds.
ENDPOINTS_PAUSE_S = 0.1
# The load balancer needs two checks, a second apart, to see that the process
# is leaving; new connections come until then.
UNLISTED_S = 3.0
# Reserve before the platform kills the process.
EXIT_RESERVE_S = 0.7
# Results of other gateways that are listed within this time cost one call; a
# trainer mostly reads where its batch runs, and that process knows at once.
LOG_PAUSE_S = 0.3
# Other gateways are registered at their start only; an old list costs time in
# finding them, and each peer also dials.
REGISTRY_WAIT_S = 10.0
# A process that has not heard of the store for this long says it isn't ready.
STORE_SILENCE_S = 2.0


class GatewayProcess:
    """The parts of a gateway process."""

    def __init__(self, boot: BootSettings, process_id: str, metrics: Metrics):
        clock = SystemClock()
        self._boot = boot
        self._process_id = process_id
        self._clock = clock
        self._store = PlatformStore(boot.store, store_call_counter(metrics))
        self._client = EngineClient(boot.node)
        self._endpoints = EndpointBook(boot.zone, clock)
        plain = PlainService(
            self._endpoints, self._client, clock, random.Random()
        )
        self._meter = UsageMeter(boot.window_s, clock)
        self._desk = Desk(
            self._endpoints, self._client, plain, self._meter, clock
        )
        self._usage_writer = UsageWriter(
            self._store, self._meter, process_id, clock
        )
        self._batches = BatchBook()
        log = BatchLog(self._store, self._batches, clock)
        tools = Tools(
            self._endpoints,
            SlotPool(self._endpoints),
            self._client,
            plain,
            lambda: self._desk.configuration,
            clock,
        )
        own = PeerAddress(
            boot.node,
            process_id,
            boot.internal_host,
            boot.internal_ports[0],
        )
        self._registry = PeerRegistry(self._store, own)
        self._mesh = PeerMesh(own, self._registry, self._presence, clock)
        self._endpoints.count_peers(self._mesh.running_by_endpoint)
        ownership = MeshOwnership(process_id, boot.node, self._mesh)
        self._checkpoints = Checkpoints(self._store, boot.node)
        self._runner = BatchRunner(
            tools,
            self._batches,
            log,
            ownership,
            self._checkpoints,
            process_id,
        )
        self._retention = Retention(
            self._batches,
            log,
            boot.results_kept_s,
            lambda batch_id: self._mesh.first_for(batch_id) == process_id,
            clock,
        )
        self._config_follower = Follower(
            self._store,
            names.CONFIG_KIND,
            self._take_config,
            clock,
        )
        self._endpoint_follower = Follower(
            self._store,
            names.ENDPOINTS_KIND,
            self._take_endpoint,
            clock,
            ENDPOINTS_PAUSE_S,
        )
        self._batch_follower = Follower(
            self._store,
            LOG_KIND,
            self._batches.take,
            clock,
            LOG_PAUSE_S,
        )
        self._followers = (
            self._config_follower,
            self._endpoint_follower,
            self._batch_follower,
            Follower(
                self._store,
                GATEWAYS_KIND,
                self._registry.take,
                clock,
                wait_s=REGISTRY_WAIT_S,
            ),
        )
        for follower in self._followers[1:]:
            self._config_follower.subscribe(follower.restart_call)
        self._is_listening = False
        self._activity = Activity()
        self._front = Front(
            FrontParts(
                self._desk,
                BatchService(self._batches, log, clock),
                self._activity,
                process_id,
                clock,
            )
        )

    @classmethod
    def from_config(
        cls, boot: BootSettings, process_id: str, metrics: Metrics
    ) -> "GatewayProcess":
        """Makes a gateway from checked settings."""
        return cls(boot, process_id, metrics)

    async def run(self) -> None:
        """Serves until SIGTERM, then until the requests have ended."""
        stopping = stop_event()
        tasks = [
            asyncio.create_task(follower.run()) for follower in self._followers
        ]
        ready_server = await _listen(
            make_readiness_app(self._is_ready), self._boot.ready
        )
        await self._config_follower.wait_synced()
        await self._endpoint_follower.wait_synced()
        front_server = await _listen(self._front.make_app(), self._boot.front)
        self._is_listening = True
        logs.event(
            logging.INFO,
            "Started",
            zone=self._boot.zone,
            front=self._boot.front,
        )
        await self._batch_follower.wait_synced()
        tasks += [
            asyncio.create_task(run())
            for run in (
                self._registry.register,
                self._mesh.run,
                self._runner.run,
                self._checkpoints.run,
                self._retention.run,
                self._usage_writer.run,
            )
        ]
        await stopping.wait()
        await self._drain(front_server)
        for task in tasks:
            task.cancel()
        await ready_server.close()
        await self._client.close()
        await self._store.close()
        logs.event(logging.INFO, "Stopped")

    async def _drain(self, front_server) -> None:
        """Lets callers finish; the batches go to other processes."""
        started = self._clock.monotonic()
        self._front.is_draining = True
        logs.event(logging.INFO, "Stopping", in_progress=self._activity.count)
        self._mesh.tell_now()
        await self._runner.stop()
        await self._usage_writer.write(self._meter.current_window(), True)
        await asyncio.sleep(
            max(0.0, UNLISTED_S - self._clock.monotonic() + started)
        )
        await front_server.close()
        left_s = self._boot.shutdown_s - EXIT_RESERVE_S
        left_s -= self._clock.monotonic() - started
        await self._activity.wait_idle(left_s)

    def _is_ready(self) -> bool:
        if self._front.is_draining or not self._is_listening:
            return False
        failing_since = self._config_follower.failing_since
        if failing_since is not None and (
            self._clock.monotonic() - failing_since > STORE_SILENCE_S
        ):
            return False
        return all(follower.is_synced for follower in self._followers)

    def _presence(self) -> Presence:
        return Presence(
            self._boot.node,
            self._process_id,
            self._is_ready(),
            tuple(
                EndpointUse(endpoint, running)
                for endpoint, running in self._endpoints.running_by_id().items()
            ),
            self._runner.running(),
        )

    def _take_config(self, change: Change) -> None:
        if change.is_removed or change.document.name != names.CONFIG_NAME:
            return
        configuration = decode.configuration(change.document)
        if isinstance(configuration, Failure):
            logs.event(
                logging.ERROR,
                "Configuration not taken",
                code=int(configuration.code),
                reason=configuration.reason,
                revision=change.document.revision,
            )
            return
        self._desk.adopt(configuration)

    def _take_endpoint(self, change: Change) -> None:
        take_endpoint(
            self._endpoints, self._endpoint_follower, change, self._clock
        )


async def _listen(app, address):
    server = await app.create_server(
        host=address.host,
        port=address.port,
        return_asyncio_server=True,
        access_log=False,
    )
    await server.startup()
    return server


async def _run(boot: BootSettings, process_id: str, metrics: Metrics) -> None:
    await GatewayProcess.from_config(boot, process_id, metrics).run()


def main() -> None:
    """Runs the program with the settings that the environment names."""
    run_process("shallotstand-gateway", _run)


if __name__ == "__main__":
    main()

"""Puts the gateway process together and runs it until SIGTERM."""

import asyncio
from collections.abc import Callable

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
from shallotstand.adapter.process import (
    run_process,
    start_tasks,
    stop_event,
)
from shallotstand.adapter.store import PlatformStore
from shallotstand.batches.records import LOG_KIND
from shallotstand.core import logs
from shallotstand.core.activity import Activity
from shallotstand.core.clock import SystemClock
from shallotstand.core.failure import Failure
from shallotstand.documents.follower import WATCH_WAIT_S, Follower
from shallotstand.documents.protocols import Change
from shallotstand.duties.usage_counts import UsageWriter
from shallotstand.gateway.batching import Batching, Identity
from shallotstand.gateway.serving import Serving
from shallotstand.link.gateway_messages import EndpointUse, Presence
from shallotstand.observe.events import store_call_counter
from shallotstand.observe.metrics import Metrics
from shallotstand.peers.registry import GATEWAYS_KIND
from shallotstand.peers.shared_store import SharedStore

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
        self._boot = boot
        self._process_id = process_id
        self._clock = SystemClock()
        self._platform_store = PlatformStore(
            boot.store, store_call_counter(metrics)
        )
        self._store = SharedStore(
            self._platform_store,
            self._clock,
            names.CONFIG_KIND,
            # Submissions are large, and few processes need them.
            names_only=(LOG_KIND,),
        )
        self._client = EngineClient(boot.node)
        self._serving = Serving(boot, self._client, self._clock)
        self._batching = Batching(
            Identity(boot, process_id),
            self._store,
            self._serving,
            self._presence,
            self._clock,
        )
        self._usage_writer = UsageWriter(
            self._store, self._serving.meter, process_id, self._clock
        )
        self._config_follower = self._follower(
            names.CONFIG_KIND, self._take_config
        )
        self._endpoint_follower = self._follower(
            names.ENDPOINTS_KIND, self._take_endpoint, ENDPOINTS_PAUSE_S
        )
        self._batch_follower = self._follower(
            LOG_KIND, self._batching.book.take, LOG_PAUSE_S
        )
        self._followers = (
            self._config_follower,
            self._endpoint_follower,
            self._batch_follower,
            self._follower(
                GATEWAYS_KIND,
                self._batching.registry.take,
                wait_s=REGISTRY_WAIT_S,
            ),
        )
        for follower in self._followers[1:]:
            self._config_follower.subscribe(follower.restart_call)
        self._front_server = None
        self._is_listening = False
        self._activity = Activity()
        self._front = Front(
            FrontParts(
                self._serving.desk,
                self._batching.service,
                self._activity,
                self._batching.placement.choose,
                self._clock,
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
        tasks = start_tasks(follower.run for follower in self._followers)
        ready_server = await _listen(
            make_readiness_app(self._is_ready), self._boot.ready
        )
        starting = start_tasks([lambda: self._serve(tasks)])
        await stopping.wait()
        starting[0].cancel()
        await self._drain()
        for task in tasks:
            task.cancel()
        await ready_server.close()
        await self._client.close()
        await self._platform_store.close()
        logs.event(logging.INFO, "Stopped")

    async def _serve(self, tasks: list[asyncio.Task]) -> None:
        """Starts to serve as the store tells what is needed for it."""
        await self._config_follower.wait_synced()
        await self._endpoint_follower.wait_synced()
        self._front_server = await _listen(
            self._front.make_app(), self._boot.front
        )
        self._is_listening = True
        logs.event(
            logging.INFO,
            "Started",
            zone=self._boot.zone,
            front=self._boot.front,
        )
        await self._batch_follower.wait_synced()
        tasks.extend(
            start_tasks((*self._batching.runs(), self._usage_writer.run))
        )

    async def _drain(self) -> None:
        """Lets callers finish; the batches go to other processes."""
        started = self._clock.monotonic()
        self._front.is_draining = True
        logs.event(logging.INFO, "Stopping", in_progress=self._activity.count)
        if self._front_server is None:
            return
        await self._batching.stop()
        await self._usage_writer.write(
            self._serving.meter.current_window(), True
        )
        await asyncio.sleep(
            max(0.0, UNLISTED_S - self._clock.monotonic() + started)
        )
        await self._front_server.close()
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
        states_by_id = self._serving.endpoints.states_by_id()
        return Presence(
            self._boot.node,
            self._process_id,
            self._is_ready(),
            tuple(
                EndpointUse(
                    endpoint_id, state.running, int((state.pace_s or 0.0) * 1e6)
                )
                for endpoint_id, state in states_by_id.items()
            ),
            self._batching.known(),
            self._boot.zone,
            int(self._boot.processor_share * 100),
        )

    def _follower(
        self,
        kind: str,
        take: Callable[[Change], None],
        pause_s: float = 0.0,
        wait_s: float = WATCH_WAIT_S,
    ) -> Follower:
        return Follower(self._store, kind, take, self._clock, pause_s, wait_s)

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
        self._serving.desk.adopt(configuration)

    def _take_endpoint(self, change: Change) -> None:
        take_endpoint(
            self._serving.endpoints,
            self._endpoint_follower,
            change,
            self._clock,
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

"""Assembles the gateway process and runs it until SIGTERM."""

import asyncio
from collections.abc import Callable, Iterable

from absl import logging
from shallotstand.adapter import decode, wire_names
from shallotstand.adapter.boot import BootSettings
from shallotstand.adapter.following import (
    receive_endpoint_change,
    receive_evacuation_change,
)
from shallotstand.adapter.http_frontend import (
    HttpFrontend,
    HttpFrontendDependencies,
    make_readiness_app,
)
from shallotstand.adapter.process import (
    install_stop_handlers,
    run_process,
    start_tasks,
)
from shallotstand.adapter.store import PlatformStore
from shallotstand.batches.records import BATCH_LOG_KIND
from shallotstand.core import logs
from shallotstand.core.clock import SystemClock
from shallotstand.core.failure import Failure
from shallotstand.core.in_progress_counter import InProgressCounter
from shallotstand.documents.protocols import Change
from shallotstand.documents.watcher import WATCH_TIMEOUT_S, DocumentWatcher
from shallotstand.duties.usage_counts import UsageWriter
from shallotstand.gateway.batching import BatchSubsystem, ProcessIdentity
from shallotstand.gateway.placement_page import PATH as PLACEMENT_PATH
from shallotstand.gateway.placement_page import PlacementPage
from shallotstand.gateway.serving import RequestServing
from shallotstand.link.gateway_messages import Presence
from shallotstand.observe.event_metrics import (
    make_endpoint_request_counter,
    make_store_call_counter,
)
from shallotstand.observe.metrics import Metrics
from shallotstand.peers.crash_sharing import CrashSharing
from shallotstand.peers.endpoint_uses import make_use
from shallotstand.peers.registry import GATEWAYS_KIND
from shallotstand.peers.shared_store import SharedStore

# Changes of endpoints within this time are read with one call to the store. The
# time is short, since requests to an endpoint must stop within two seconds
# after it is marked as leaving.
ENDPOINT_WATCH_PAUSE_S = 0.1
# Shortest time between two reads of the store because endpoints report other
# starts than those of their entries.
ENDPOINT_REFRESH_INTERVAL_S = 0.5
# The load balancer needs two health checks, a second apart, to detect that the
# process is stopping; new connections arrive until then.
LOAD_BALANCER_DELAY_S = 3.0
# Time reserved for the exit before the platform kills the process.
EXIT_RESERVE_S = 0.7
# Submissions and ends of batches within this time are read with one call to the
# store. The process that runs a batch usually learns of them from a peer first.
BATCH_LOG_WATCH_PAUSE_S = 0.3
# Gateways register only when they start. A stale registry only delays the
# connection to a peer, and each peer also connects on its own.
REGISTRY_WATCH_TIMEOUT_S = 10.0
# Changes of the configuration and of endpoints are known everywhere within this
# time. What the store has not confirmed for longer may be out of date.
MAX_CONFIRMED_AGE_S = 2.0
# A process whose calls to the store fail for this long reports itself as not
# ready.
STORE_FAILURE_TIMEOUT_S = 2.0


class GatewayProcess:
    """A gateway process and its components."""

    def __init__(self, boot: BootSettings, process_id: str, metrics: Metrics):
        self._boot = boot
        self._process_id = process_id
        self._clock = SystemClock()
        self._platform_store = PlatformStore(
            boot.store_address, make_store_call_counter(metrics)
        )
        self._store = SharedStore(
            self._platform_store,
            self._clock,
            wire_names.CONFIG_KIND,
            # Submissions are large, and few processes need them.
            kinds_without_content=(BATCH_LOG_KIND,),
        )
        self._serving = RequestServing(
            boot,
            process_id,
            self._store,
            make_endpoint_request_counter(metrics),
            self._clock,
        )
        self._batch_subsystem = BatchSubsystem(
            ProcessIdentity(boot, process_id),
            self._store,
            self._serving,
            self._make_presence,
            self._clock,
        )
        self._serving.stream_origins.is_preferred_owner = (
            self._batch_subsystem.mesh.is_preferred_owner
        )
        self._crash_sharing = CrashSharing(
            self._serving.crash_record,
            self._serving.endpoint_registry,
            self._serving.client.check_listening,
            self._batch_subsystem.mesh,
            self._store,
            boot.instance,
            self._clock,
        )
        metrics.gauge(
            "incomplete_response_bytes",
            "Bytes held of incomplete responses, and their limit.",
            "figure",
            self._incomplete_response_bytes,
        )
        metrics.pages[PLACEMENT_PATH] = PlacementPage(
            self._serving, self._batch_subsystem.placement.choose_process
        ).answer
        self._usage_writer = UsageWriter(
            self._store, self._serving.usage_meter, process_id, self._clock
        )
        self._config_watcher = self._make_watcher(
            wire_names.CONFIG_KIND, self._receive_config_change
        )
        self._endpoint_watcher = self._make_watcher(
            wire_names.ENDPOINTS_KIND,
            self._receive_endpoint_change,
            ENDPOINT_WATCH_PAUSE_S,
        )
        self._serving.crash_record.is_registry_current = lambda: (
            self._endpoint_watcher.failing_since is None
        )
        self._serving.request_handler.is_configuration_current = lambda: (
            self._is_confirmed(self._config_watcher)
        )
        self._serving.start_check.is_list_current = lambda: self._is_confirmed(
            self._endpoint_watcher
        )
        self._serving.start_check.on_outdated_list = self._refresh_endpoints
        self._endpoints_refreshed_at = float("-inf")
        self._batch_watcher = self._make_watcher(
            BATCH_LOG_KIND,
            self._batch_subsystem.batch_registry.receive_change,
            BATCH_LOG_WATCH_PAUSE_S,
        )
        self._watchers = (
            self._config_watcher,
            self._endpoint_watcher,
            self._batch_watcher,
            self._make_watcher(
                GATEWAYS_KIND,
                self._batch_subsystem.peer_registry.receive_change,
                watch_timeout_s=REGISTRY_WATCH_TIMEOUT_S,
            ),
        )
        if boot.has_evacuations:
            self._watchers += (
                self._make_watcher(
                    wire_names.EVACUATIONS_KIND, self._receive_evacuation_change
                ),
            )
        for watcher in self._watchers[1:]:
            self._config_watcher.subscribe(watcher.restart_watch)
        self._frontend_server = None
        self._is_listening = False
        self._in_progress = InProgressCounter()
        self._frontend = HttpFrontend(
            HttpFrontendDependencies(
                self._serving.request_handler,
                self._batch_subsystem.service,
                self._in_progress,
                self._batch_subsystem.placement.choose_process,
                self._clock,
            )
        )

    @classmethod
    def from_config(
        cls, boot: BootSettings, process_id: str, metrics: Metrics
    ) -> "GatewayProcess":
        """Creates a gateway from validated settings."""
        return cls(boot, process_id, metrics)

    async def run(self) -> None:
        """Serves until SIGTERM, then finishes the requests in progress."""
        stopping = install_stop_handlers()
        tasks = start_tasks(watcher.run for watcher in self._watchers)
        readiness_server = await _listen(
            make_readiness_app(self._is_ready), self._boot.readiness_address
        )
        startup_tasks = start_tasks([lambda: self._serve(tasks)])
        await stopping.wait()
        startup_tasks[0].cancel()
        await self._drain()
        for task in tasks:
            task.cancel()
        await readiness_server.close()
        await self._serving.client.close()
        await self._platform_store.close()
        logs.event(logging.INFO, "Stopped")

    async def _serve(self, tasks: list[asyncio.Task]) -> None:
        """Starts the listener, then the background tasks.

        Each starts once the data that it needs has been read from the store.
        """
        await self._config_watcher.wait_synced()
        await self._endpoint_watcher.wait_synced()
        if self._boot.has_evacuations:
            await self._watchers[-1].wait_synced()
        await self._crash_sharing.load()
        self._frontend_server = await _listen(
            self._frontend.make_app(), self._boot.caller_address
        )
        self._is_listening = True
        logs.event(
            logging.INFO,
            "Started",
            zone=self._boot.zone,
            front=self._boot.caller_address,
        )
        await self._batch_watcher.wait_synced()
        tasks.extend(
            start_tasks(
                (
                    *self._batch_subsystem.background_tasks(),
                    self._usage_writer.run,
                    self._crash_sharing.run,
                    self._serving.stream_origins.run,
                    self._serving.leaving_check.run,
                )
            )
        )

    async def _drain(self) -> None:
        """Finishes callers' requests; other processes take the batches over."""
        started = self._clock.monotonic()
        self._frontend.is_draining = True
        served_until = started + self._boot.shutdown_timeout_s - EXIT_RESERVE_S
        self._serving.request_handler.begin_stop(served_until)
        logs.event(
            logging.INFO, "Stopping", in_progress=self._in_progress.count
        )
        if self._frontend_server is None:
            return
        await self._batch_subsystem.stop()
        await self._usage_writer.write(
            self._serving.usage_meter.current_window(), True
        )
        await asyncio.sleep(
            max(0.0, LOAD_BALANCER_DELAY_S - self._clock.monotonic() + started)
        )
        await self._frontend_server.close()
        await self._in_progress.wait_idle(
            served_until - self._clock.monotonic()
        )

    def _is_ready(self) -> bool:
        if self._frontend.is_draining or not self._is_listening:
            return False
        failing_since = self._config_watcher.failing_since
        if failing_since is not None and (
            self._clock.monotonic() - failing_since > STORE_FAILURE_TIMEOUT_S
        ):
            return False
        return all(watcher.is_synced for watcher in self._watchers)

    def _is_confirmed(self, watcher: DocumentWatcher) -> bool:
        """Returns whether the store has lately confirmed what a watch told."""
        age_s = self._clock.monotonic() - watcher.confirmed_at
        return watcher.failing_since is None and age_s <= MAX_CONFIRMED_AGE_S

    def _refresh_endpoints(self) -> None:
        """Asks the store for changes of endpoints that peers don't tell of."""
        now = self._clock.monotonic()
        if now - self._endpoints_refreshed_at < ENDPOINT_REFRESH_INTERVAL_S:
            return
        self._endpoints_refreshed_at = now
        logs.event(logging.INFO, "Asks the store for the list of endpoints")
        self._store.distrust_peers(wire_names.ENDPOINTS_KIND)
        self._endpoint_watcher.restart_watch()

    def _incomplete_response_bytes(self) -> Iterable[tuple[str, float]]:
        budget = self._serving.receive_budget
        return (("held", budget.held_bytes), ("limit", budget.max_bytes))

    def _make_presence(self) -> Presence:
        states_by_id = self._serving.endpoint_registry.local_states_by_id()
        return Presence(
            self._boot.instance,
            self._process_id,
            self._is_ready(),
            tuple(
                make_use(endpoint_id, state, self._clock.monotonic())
                for endpoint_id, state in states_by_id.items()
            ),
            self._batch_subsystem.claimed_batch_ids(),
            self._boot.zone,
            int(self._boot.processor_share * 100),
        )

    def _make_watcher(
        self,
        kind: str,
        on_change: Callable[[Change], None],
        pause_s: float = 0.0,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
    ) -> DocumentWatcher:
        return DocumentWatcher(
            self._store, kind, on_change, self._clock, pause_s, watch_timeout_s
        )

    def _receive_config_change(self, change: Change) -> None:
        if change.is_removed or change.document.name != wire_names.CONFIG_NAME:
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
        self._serving.request_handler.update_configuration(configuration)
        self._frontend.limit_bodies(configuration.limits.max_body_bytes)

    def _receive_evacuation_change(self, change: Change) -> None:
        receive_evacuation_change(self._serving.endpoint_registry, change)

    def _receive_endpoint_change(self, change: Change) -> None:
        receive_endpoint_change(
            self._serving.endpoint_registry,
            self._endpoint_watcher,
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
    """Runs the gateway with the settings in the environment and boot file."""
    run_process("shallotstand-gateway", _run)


if __name__ == "__main__":
    main()

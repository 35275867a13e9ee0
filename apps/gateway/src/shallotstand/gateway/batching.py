"""Accepts, runs and retains batches in a gateway."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from shallotstand.adapter.boot import BootSettings
from shallotstand.batches.batch_log import BatchLog
from shallotstand.batches.checkpoints import Checkpoints
from shallotstand.batches.item_run import ItemRunDependencies
from shallotstand.batches.peer_reads import PeerRequest, RunningBatch
from shallotstand.batches.registry import BatchRegistry
from shallotstand.batches.retention import Retention
from shallotstand.batches.runner import BatchRunner
from shallotstand.batches.service import BatchService
from shallotstand.batches.size_estimate import SizeEstimate
from shallotstand.core.clock import Clock
from shallotstand.dispatch.slots import SlotPool
from shallotstand.gateway.ownership import MeshOwnership
from shallotstand.gateway.serving import RequestServing
from shallotstand.link.gateway_messages import Presence, StoreChanges
from shallotstand.peers.batch_reads import PeerBatchRequests
from shallotstand.peers.mesh import PeerMesh
from shallotstand.peers.placement import BatchPlacement
from shallotstand.peers.registry import PeerAddress, PeerRegistry
from shallotstand.peers.shared_store import SharedStore

# Time limit for the final checkpoint of the texts of unfinished items, so that
# a slow store does not delay the stop.
FINAL_WRITE_TIMEOUT_S = 0.5


class ProcessIdentity(NamedTuple):
    """A process and the settings of the instance that it runs on."""

    boot: BootSettings
    process_id: str

    @property
    def address(self) -> PeerAddress:
        """Address at which peers reach the process."""
        return PeerAddress(
            self.boot.instance,
            self.process_id,
            self.boot.internal_host,
            self.boot.internal_ports[0],
        )


class BatchSubsystem:
    """The components that accept, run and retain batches.

    Attributes:
      batch_registry: The batches in the batch log.
      service: Handles callers' requests about batches.
      peer_registry: Addresses of the other gateways.
      mesh: Connections to the other gateways.
      placement: Chooses which process runs a batch that this process accepts.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        store: SharedStore,
        serving: RequestServing,
        make_presence: Callable[[], Presence],
        clock: Clock,
    ):
        """Creates the components.

        Args:
          identity: This process.
          store: The store, whose watches are shared with the peers.
          serving: The components that serve requests; batch items use them,
            too.
          make_presence: Returns the presence message of this process.
          clock: Source of time.
        """
        boot, process_id = identity
        self.batch_registry = BatchRegistry()
        log = BatchLog(store, self.batch_registry, clock)
        self.peer_registry = PeerRegistry(store, identity.address)
        self.mesh = PeerMesh(
            identity.address, self.peer_registry, make_presence, clock
        )
        store.set_peers(self.mesh)
        self.mesh.register_handler(
            StoreChanges, lambda message, _: store.receive_changes(message)
        )
        serving.endpoint_registry.set_peer_states_source(
            self.mesh.states_by_endpoint
        )
        serving.endpoint_registry.request_shares.set_isolation_source(
            lambda: self.mesh.is_isolated
        )
        serving.endpoint_registry.request_shares.subscribe(
            self.mesh.announce_change
        )
        self._checkpoints = Checkpoints(store, boot.instance)
        pool = SlotPool(serving.endpoint_registry)
        # Slots that a peer releases are assigned to items that wait in this
        # process.
        self.mesh.subscribe(pool.schedule_assignment)
        dependencies = ItemRunDependencies(
            serving.endpoint_registry,
            pool,
            serving.client,
            serving.unary_dispatcher,
            SizeEstimate(),
            serving.start_check,
            lambda: serving.request_handler.configuration,
            clock,
        )
        self.service = BatchService(
            self.batch_registry,
            log,
            clock,
            self._is_running_locally,
            PeerBatchRequests(self.mesh, self._handle_peer_request),
            process_id,
            self._take_texts,
        )
        self.placement = BatchPlacement(
            process_id,
            boot.zone,
            int(boot.processor_share * 100),
            self.mesh,
            lambda: sum(
                state.running
                for state in (
                    serving.endpoint_registry.local_states_by_id().values()
                )
            ),
        )
        self._runner = BatchRunner(
            dependencies,
            self.batch_registry,
            log,
            MeshOwnership(process_id, boot.instance, self.mesh, clock),
            self._checkpoints,
            process_id,
            self.service.load,
        )
        self._retention = Retention(
            self.batch_registry,
            log,
            boot.result_retention_s,
            self.mesh.is_preferred_owner,
            clock,
        )

    def background_tasks(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Returns the tasks to start once the batch log has been read."""
        return (
            self.peer_registry.register,
            self.mesh.run,
            self._runner.run,
            self._checkpoints.run,
            self._retention.run,
        )

    def claimed_batch_ids(self) -> tuple[str, ...]:
        """Returns the claimed batches; see `BatchRunner.claimed_batch_ids`."""
        return self._runner.claimed_batch_ids()

    def _is_running_locally(self, batch_id: str) -> bool:
        return self._runner.is_running_batch(batch_id)

    def _take_texts(self, running: RunningBatch) -> None:
        self._runner.take_texts(running)

    async def _handle_peer_request(
        self, batch_id: str, request: PeerRequest
    ) -> Any:
        return await self.service.handle_peer_request(batch_id, request)

    async def stop(self) -> None:
        """Hands the running batches on to peers.

        The final checkpoint is for batches that no peer takes. Peers learn
        that this process runs the batches no more before they get them.
        """
        checkpoint = asyncio.create_task(
            self._checkpoints.write_final(FINAL_WRITE_TIMEOUT_S)
        )
        # Lets it collect the texts before the runs end.
        await asyncio.sleep(0)
        running = await self._runner.stop()
        self.mesh.broadcast_presence()
        successors = self.placement.choose_successors(len(running))
        await asyncio.gather(
            checkpoint,
            *itertools.starmap(
                self.service.hand_on, zip(running, successors, strict=False)
            ),
        )

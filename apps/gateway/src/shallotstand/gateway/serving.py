"""Serves callers' requests in a gateway."""

import random
from collections.abc import Callable

from shallotstand.adapter.boot import BootSettings
from shallotstand.adapter.engines import HttpEndpointClient
from shallotstand.core.clock import Clock
from shallotstand.dispatch.crash_record import CrashRecord
from shallotstand.dispatch.endpoints import EndpointRegistry
from shallotstand.dispatch.leaving_check import LeavingCheck
from shallotstand.dispatch.plain import UnaryDispatcher
from shallotstand.dispatch.request_handler import RequestHandler
from shallotstand.dispatch.start_check import StartCheck
from shallotstand.dispatch.usage import UsageMeter
from shallotstand.documents.protocols import DocumentStore
from shallotstand.outbound.receive_budget import ReceiveBudget
from shallotstand.peers.stream_origins import StoredStreamOrigins


class RequestServing:
    """The components that serve requests.

    Attributes:
      client: Sends requests to endpoints.
      receive_budget: Bounds what the client holds of incomplete responses.
      endpoint_registry: The endpoints with their load and health.
      unary_dispatcher: Serves requests whose response is not streamed.
      crash_record: Requests under which endpoints ended.
      stream_origins: Where callers' streams began.
      start_check: Checks which software endpoints run.
      leaving_check: Asks endpoints whether they still leave.
      usage_meter: Counts requests for the usage report.
      request_handler: Admits and dispatches requests.
    """

    def __init__(
        self,
        boot: BootSettings,
        process_id: str,
        store: DocumentStore,
        count_request: Callable[[str, str], None],
        clock: Clock,
    ):
        """Creates the components of a process.

        Args:
          boot: Settings of the instance.
          process_id: Identifier of the process.
          store: The store, where origins of streams are kept.
          count_request: Counts a request by endpoint and outcome.
          clock: Source of time.
        """
        self.endpoint_registry = EndpointRegistry(
            boot.zone, clock, process_id, boot.region_by_zone
        )
        self.receive_budget = ReceiveBudget.from_memory_limit(boot.memory_bytes)
        self.client = HttpEndpointClient(
            self.endpoint_registry, clock, count_request, self.receive_budget
        )
        self.unary_dispatcher = UnaryDispatcher(
            self.endpoint_registry, self.client, clock, random.Random()
        )
        self.crash_record = CrashRecord(self.endpoint_registry, clock)
        self.stream_origins = StoredStreamOrigins(
            store, self.endpoint_registry, boot.instance, clock
        )
        self.start_check = StartCheck(self.client)
        self.leaving_check = LeavingCheck(self.endpoint_registry, self.client)
        self.usage_meter = UsageMeter(boot.usage_window_s, clock)
        self.request_handler = RequestHandler(
            self.endpoint_registry,
            self.client,
            self.unary_dispatcher,
            self.usage_meter,
            clock,
            self.crash_record,
            self.stream_origins,
            self.start_check,
        )

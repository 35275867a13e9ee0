"""What serves callers' requests in a gateway."""

import random

from shallotstand.adapter.boot import BootSettings
from shallotstand.core.clock import Clock
from shallotstand.dispatch.desk import Desk
from shallotstand.dispatch.endpoints import EndpointBook
from shallotstand.dispatch.exchange import EndpointClient
from shallotstand.dispatch.plain import PlainService
from shallotstand.dispatch.usage import UsageMeter


class Serving:
    """The parts that serve requests.

    Attributes:
      client: Sends calls to endpoints.
      endpoints: The endpoints.
      plain: Serves requests with whole answers.
      meter: Counts requests for the usage report.
      desk: Admits requests and has them served.
    """

    def __init__(
        self, boot: BootSettings, client: EndpointClient, clock: Clock
    ):
        self.client = client
        self.endpoints = EndpointBook(boot.zone, clock)
        self.plain = PlainService(
            self.endpoints, client, clock, random.Random()
        )
        self.meter = UsageMeter(boot.window_s, clock)
        self.desk = Desk(self.endpoints, client, self.plain, self.meter, clock)

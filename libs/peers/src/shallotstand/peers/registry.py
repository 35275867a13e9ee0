"""Addresses of the gateways, as registered in the store."""

import asyncio
from typing import NamedTuple, TypedDict

from absl import logging
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.documents.protocols import Change, DocumentStore

GATEWAYS_KIND = "gateways"
REGISTRATION_RETRY_S = 0.5


class GatewayRecord(TypedDict):
    """Registration of a gateway: its process and the address for peers."""

    process_id: str
    host: str
    port: int


class PeerAddress(NamedTuple):
    """Address of a gateway process.

    Attributes:
      instance: Name of its instance.
      process_id: Identifier of the process.
      host: Host on which it listens for peers.
      port: Port on which it listens for peers.
    """

    instance: str
    process_id: str
    host: str
    port: int


class PeerRegistry:
    """Registers this process and keeps the addresses of the others.

    Attributes:
      addresses_by_instance: Address of the process of each other instance.
    """

    def __init__(self, store: DocumentStore, own_address: PeerAddress):
        self._store = store
        self._own_address = own_address
        self.addresses_by_instance: dict[str, PeerAddress] = {}

    async def register(self) -> None:
        """Registers this process; retries until the store accepts it."""
        record = GatewayRecord(
            process_id=self._own_address.process_id,
            host=self._own_address.host,
            port=self._own_address.port,
        )
        while True:
            outcome = await self._store.create(
                GATEWAYS_KIND, self._own_address.instance, record
            )
            if _has_code(outcome, ResultCode.VERSION_CONFLICT):
                outcome = await self._replace(record)
            if not isinstance(outcome, Failure):
                return
            logs.event(
                logging.WARNING,
                "Registration waits for the store",
                reason=outcome.reason,
            )
            await asyncio.sleep(REGISTRATION_RETRY_S)

    async def remove(self, instance: str) -> None:
        """Removes the registration of an instance that is gone."""
        await self._store.delete(GATEWAYS_KIND, instance)

    def receive_change(self, change: Change) -> None:
        """Applies a change of a registration.

        Raises:
          KeyError, TypeError, ValueError: The registration is malformed.
        """
        name, spec = change.document.name, change.document.spec
        if name == self._own_address.instance:
            return
        if change.is_removed:
            self.addresses_by_instance.pop(name, None)
            return
        self.addresses_by_instance[name] = PeerAddress(
            name, str(spec["process_id"]), str(spec["host"]), int(spec["port"])
        )

    async def _replace(self, record: GatewayRecord):
        current = await self._store.get(
            GATEWAYS_KIND, self._own_address.instance
        )
        if isinstance(current, Failure):
            return current
        return await self._store.replace(
            GATEWAYS_KIND, self._own_address.instance, record, current.revision
        )


def _has_code(outcome: object, code: ResultCode) -> bool:
    return isinstance(outcome, Failure) and outcome.code == code

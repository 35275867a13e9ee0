"""What shallotstand needs of the platform; this module imports no HTTP."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from shallotstand.core.failure import Failure

MAX_VALUE_BYTES = 1_000_000


class StoredObject(NamedTuple):
    """An object of the platform's object API.

    Attributes:
      key: Key such as `config/head`.
      version: Changes with every update of the object; 0 if it is absent.
      value: Content; at most MAX_VALUE_BYTES.
    """

    key: str
    version: int
    value: bytes


class ObjectStore(Protocol):
    """The platform's object API."""

    async def get(self, key: str) -> StoredObject | Failure:
        """Reads an object.

        Errors:
          OBJECT_NOT_FOUND: There is none.
          STORE_UNAVAILABLE: No answer in time.
        """
        ...

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> int | Failure:
        """Writes an object if it has the expected version.

        Args:
          key: Key of the object.
          value: New content.
          expected_version: Version that was read; 0 to create.

        Returns:
          The new version.

        Errors:
          VERSION_CONFLICT: The object has another version.
          STORE_UNAVAILABLE: No answer; the write may have taken effect.
          VALUE_TOO_LARGE: The value is over the limit; nothing was written.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> Failure | None:
        """Deletes an object if it has the expected version."""
        ...

    async def list(self, prefix: str) -> list[StoredObject] | Failure:
        """Reads every object whose key begins with the prefix."""
        ...

    def watch(self, prefix: str) -> AsyncIterator[StoredObject | Failure]:
        """Yields the objects below a prefix, then each change of them.

        A deleted object has version 0. After a Failure the watch goes on by
        itself and yields every object again, so no change is missed.
        """
        ...


class ZoneOrder(NamedTuple):
    """An order to run some number of endpoints in an availability zone.

    Attributes:
      zone: Availability zone.
      service: Service whose endpoints are ordered.
      count: Endpoints that are to run; the platform starts or stops the rest.
      epoch: Fencing number of the holder of `zone/<zone>`.
      order_id: Identifier; the platform answers a repeated one alike.
      timeout_s: Seconds until the order expires.
    """

    zone: str
    service: str
    count: int
    epoch: int
    order_id: str
    timeout_s: float


class ZoneOrders(Protocol):
    """The interface on which endpoints are ordered."""

    async def order(self, order: ZoneOrder) -> Failure | None:
        """Gives an order.

        Errors:
          STALE_EPOCH: The platform has seen a higher epoch.
          PLATFORM_REFUSED: The order is not valid.
          OUTCOME_UNKNOWN: No answer; the order may be in effect.
        """
        ...

    async def read(self, zone: str) -> dict[str, int] | Failure:
        """Returns the ordered number of endpoints by service."""
        ...


class UsageSink(Protocol):
    """The interface that takes usage reports."""

    async def report(
        self, account: str, window: int, body: bytes
    ) -> Failure | None:
        """Sends the report of one client account and window.

        Errors:
          PLATFORM_REFUSED: Other figures were reported for the window.
          STORE_UNAVAILABLE: No answer; the report may have arrived.
        """
        ...


class Instance(NamedTuple):
    """An instance in the platform's list.

    Attributes:
      name: Name of the instance.
      zone: Availability zone.
      role: `entry` or `endpoint`.
      state: `live` or `leaving`.
    """

    name: str
    zone: str
    role: str
    state: str


class InstanceList(Protocol):
    """The platform's list of instances, which lags."""

    async def instances(self) -> list[Instance] | Failure:
        """Returns the list.

        Errors:
          STORE_UNAVAILABLE: No answer in time.
        """
        ...


class WeightStore(Protocol):
    """The rate-limited store of weights."""

    async def fetch(self, key: str) -> bytes | Failure:
        """Fetches the weights of a version.

        Errors:
          RATE_LIMITED: Too many fetches; try again later.
          OBJECT_NOT_FOUND: There are no such weights.
        """
        ...

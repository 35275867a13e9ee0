"""The registration of an endpoint."""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """The registration of an endpoint.

    Attributes:
      id: Identifier of the endpoint.
      service: Service that it belongs to.
      address: Host and port.
      zone: Availability zone.
      slots: Number of requests that it processes concurrently.
      is_leaving: Whether it is shutting down and accepts no new requests.
      started_ms: Time of its start in Unix milliseconds; differs after a
        restart.
      version_by_model: Weight version of each model that it serves.
      software_version: Version of its software. What endpoints of different
        versions generate does not fit together.
      cold_remaining_s: Seconds for which it is still cold, counted from the
        moment at which it wrote its entry; 0 if it is warm.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    started_ms: int
    version_by_model: dict[str, int]
    software_version: str = ""
    cold_remaining_s: float = 0.0

    @property
    def identity(self) -> "Endpoint":
        """The endpoint without what it changes in its entry all the time."""
        return self._replace(version_by_model={}, cold_remaining_s=0.0)

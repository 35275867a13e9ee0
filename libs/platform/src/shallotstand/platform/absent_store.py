"""A store that never answers, for processes that have no store client."""

from collections.abc import AsyncIterator

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.protocols import StoredObject

_ABSENT = Failure(ResultCode.STORE_UNAVAILABLE, "There is no store client.")


class AbsentStore:
    """Answers every call as a store does that is down."""

    async def get(self, key: str) -> StoredObject | Failure:  # noqa: ARG002
        """Returns STORE_UNAVAILABLE."""
        return _ABSENT

    async def put(
        self,
        key: str,  # noqa: ARG002
        value: bytes,  # noqa: ARG002
        expected_version: int,  # noqa: ARG002
    ) -> int | Failure:
        """Returns STORE_UNAVAILABLE."""
        return _ABSENT

    async def delete(
        self,
        key: str,  # noqa: ARG002
        expected_version: int,  # noqa: ARG002
    ) -> Failure | None:
        """Returns STORE_UNAVAILABLE."""
        return _ABSENT

    async def watch(
        self,
        prefix: str,  # noqa: ARG002
    ) -> AsyncIterator[StoredObject | Failure]:
        """Yields one STORE_UNAVAILABLE."""
        yield _ABSENT

    async def list(
        self,
        prefix: str,  # noqa: ARG002
    ) -> list[StoredObject] | Failure:
        """Returns STORE_UNAVAILABLE."""
        return _ABSENT

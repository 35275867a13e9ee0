"""Usage reports, written to the store once and sent as they are stored.

A stored report is never changed (it is frozen), so every repeated send has
the same bytes.
"""

from collections.abc import Iterable

import orjson
from absl import logging
from shallotstand.control.usage_book import Figures, UsageCheckpoint
from shallotstand.core import logs
from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure
from shallotstand.platform.conditional import (
    DEFAULT_BACKOFF,
    Backoff,
    create_once,
)
from shallotstand.platform.protocols import (
    ObjectStore,
    StoredObject,
    UsageSink,
)


def report_key(account: str, window: int) -> str:
    """Returns the key of a stored report."""
    return f"report/{account}/{window}"


def encode_report(account: str, checkpoint: UsageCheckpoint) -> bytes:
    """Returns the report of an account for a closed window.

    The totals cover all records counted in the window. Records that belong
    to earlier windows are also listed under `late`, by window.
    """
    by_window = {
        int(window): Figures(*figures)
        for window, figures in checkpoint["figures"].get(account, {}).items()
    }
    total = Figures()
    for figures in by_window.values():
        total = total.plus(figures)
    late = [
        {"window": window, **figures._asdict()}
        for window, figures in sorted(by_window.items())
        if window != checkpoint["window"]
    ]
    report = {"account": account, "window": checkpoint["window"], "late": late}
    return orjson.dumps(
        {**report, **total._asdict()}, option=orjson.OPT_SORT_KEYS
    )


class UsageReporter:
    """Stores each report once and sends the stored bytes to the sink."""

    def __init__(
        self,
        store: ObjectStore,
        sink: UsageSink,
        backoff: Backoff = DEFAULT_BACKOFF,
    ):
        self._backoff = backoff
        self._store = store
        self._sink = sink

    async def report_window(
        self, checkpoint: UsageCheckpoint, accounts: Iterable[str]
    ) -> Failure | None:
        """Sends the reports of a closed window.

        Args:
          checkpoint: Checkpoint of the closed window.
          accounts: Client accounts of the shard; an account without
            traffic gets a report of zeros.

        Errors:
          STORE_UNAVAILABLE: Some reports were not sent; call this method
            again.
        """
        for account in sorted({*accounts, *checkpoint["figures"]}):
            failure = await self.freeze_and_send(account, checkpoint)
            if failure is None:
                continue
            if failure.code != ResultCode.PLATFORM_REFUSED:
                return failure
            # The platform would refuse a repeated report again.
            logs.event(
                logging.ERROR,
                "Usage report refused",
                account=account,
                window=checkpoint["window"],
                reason=failure.reason,
            )
        return None

    async def freeze_and_send(
        self, account: str, checkpoint: UsageCheckpoint
    ) -> Failure | None:
        """Stores the report of one account, then sends the stored bytes.

        If a report of this window is already stored, that report is sent.
        """
        window = checkpoint["window"]
        key = report_key(account, window)
        created = await create_once(
            self._store, key, encode_report(account, checkpoint), self._backoff
        )
        if isinstance(created, Failure) and created.code not in (
            ResultCode.VERSION_CONFLICT,
            ResultCode.OUTCOME_UNKNOWN,
        ):
            return created
        return await self.send_frozen(account, window)

    async def send_frozen(self, account: str, window: int) -> Failure | None:
        """Sends a stored report.

        The report is read back even right after its creation, so that only
        stored bytes can reach the platform.

        Errors:
          OBJECT_NOT_FOUND: The report is not stored yet.
        """
        frozen = await self._store.get(report_key(account, window))
        if not isinstance(frozen, StoredObject):
            return frozen
        return await self._sink.report(account, window, frozen.value)

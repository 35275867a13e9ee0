"""A small stand-in for the interface that takes usage reports."""

from shallotstand.core.codes import ResultCode
from shallotstand.core.failure import Failure


class StandinUsageSink:
    """Keeps the first report of each client account and window.

    Attributes:
      reports_by_window: Bodies by (client account, window).
      conflicts: (client account, window) of each refused report.
      repeats: Number of reports that came again with the same figures.
    """

    def __init__(self) -> None:
        self.reports_by_window: dict[tuple[str, int], bytes] = {}
        self.conflicts: list[tuple[str, int]] = []
        self.repeats = 0

    async def report(
        self, account: str, window: int, body: bytes
    ) -> Failure | None:
        """Takes a report; refuses other figures for the same window."""
        held = self.reports_by_window.setdefault((account, window), body)
        if held is body:
            return None
        if held == body:
            self.repeats += 1
            return None
        self.conflicts.append((account, window))
        return Failure(ResultCode.PLATFORM_REFUSED, "Other figures are held.")

"""Counter of work in progress; lets a shutdown wait until none is left."""

import asyncio


class InProgressCounter:
    """Counts the requests or responses in progress.

    Attributes:
      count: Number of requests or responses in progress.
    """

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def begin(self) -> None:
        """Records that a request or response has started."""
        self.count += 1
        self._idle.clear()

    def end(self) -> None:
        """Records that a request or response has ended."""
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Waits until nothing is in progress.

        Returns:
          False if work is still in progress after the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

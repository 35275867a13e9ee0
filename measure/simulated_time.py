"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Moves the clock on where another selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Returns what is ready now, after moving the clock on."""
        if timeout is None:
            raise RuntimeError("Every task waits and no timer is set.")
        self.now += max(0.0, timeout)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs hours of timers in seconds, in the same order each time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the simulated seconds."""
        return self._jumping.now


class LoopClock:
    """The running loop's time as a clock."""

    def monotonic(self) -> float:
        """Returns the loop's seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns the loop's seconds."""
        return self.monotonic()


def run_simulated(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end in simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)

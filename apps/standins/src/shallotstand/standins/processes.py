"""Starts programs for the demo and ends them."""

import asyncio
import contextlib
import pathlib
import random
import socket
import sys

from shallotstand.settings.options import SocketAddress

# Below the range from which Linux takes the ports of outgoing connections: such
# a connection could otherwise take an address before its program listens.
_PORTS = range(20_000, 32_000)
_given: set[SocketAddress] = set()
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 5.0
# Every program logs this once it serves.
_STARTED = b'"message": "Started"'


def free_address() -> SocketAddress:
    """Returns a loopback address that nothing listens at.

    No address is returned twice, so several programs can be planned before
    the first of them listens.
    """
    while True:
        address = SocketAddress("127.0.0.1", random.choice(_PORTS))
        if address not in _given and _is_free(address):
            _given.add(address)
            return address


def _is_free(address: SocketAddress) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(address)
        except OSError:
            return False
    return True


class Program:
    """A program that runs as a child process.

    Attributes:
      name: Name for messages; the settings and log files are named after it.
      process: The process.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, log: pathlib.Path
    ):
        self.name = name
        self.process = process
        self._log = log
        self._started = asyncio.Event()
        self._reader = asyncio.create_task(self._read_log())

    @classmethod
    async def start(
        cls, name: str, module: str, settings: str, directory: pathlib.Path
    ) -> "Program":
        """Starts a program and waits until it serves.

        Args:
          name: Name of the program's files.
          module: Module that runs the program.
          settings: Content of its settings file.
          directory: Where its files are kept.

        Raises:
          RuntimeError: It ended or did not serve in time.
        """
        path = directory / f"{name}.toml"
        path.write_text(settings)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            "--settings",
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )
        program = cls(name, process, directory / f"{name}.log")
        await program._wait_started()
        return program

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Asks the process to end, kills it if it doesn't in time.

        Returns:
          The exit status; negative for the signal that ended it.
        """
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self._reader
        return self.process.returncode

    def log_text(self) -> str:
        """Returns what the program has logged."""
        return self._log.read_text(errors="replace")

    async def _wait_started(self) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._started.wait()
        except TimeoutError:
            await self.stop()
        if self.process.returncode is not None or self._reader.done():
            text = self.log_text()
            raise RuntimeError(f"{self.name} did not start:\n{text}")

    async def _read_log(self) -> None:
        with self._log.open("wb", buffering=0) as log:
            async for line in self.process.stderr:
                log.write(line)
                if _STARTED in line:
                    self._started.set()
        # The process has ended; whoever waits for its start must not hang.
        self._started.set()

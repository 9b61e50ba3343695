"""Start and stop processes on loopback, each of them by its own process id."""

import asyncio
import fcntl
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import threading
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from types import TracebackType
from typing import Self, TextIO

from attrs import define, field

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
ROOT = Path(__file__).resolve().parents[2]
PORTS = range(10_000, 32_000)
"""Ports below the range from which the kernel assigns free ones to other sockets."""

BLOCK_PORTS = 500
"""Ports that one process claims at once. A port is free until the process that it was
chosen for listens on it, and while that is restarted, so that other test processes must
not choose it."""

LOCKS = Path(tempfile.gettempdir()) / "mangoway-test-ports"
"""Folder with a file for each block, which the process that claimed the block locks."""

_locks: list[TextIO] = []
"""Files of the claimed blocks. They stay locked until this process and all that it
started have ended, since those listen on these ports and connect to them."""

_unused_ports: list[int] = []


def find_free_address() -> str:
    """Return a loopback address with a port that is free now.

    It is a new one for each call, also among the processes of other test runs.
    """
    while True:
        if not _unused_ports:
            _unused_ports.extend(_claim_ports())
        port = _unused_ports.pop()
        with suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def _claim_ports() -> list[int]:
    """Return the ports of a block that no other process has claimed.

    Raises:
        RuntimeError: If all blocks are claimed.
    """
    LOCKS.mkdir(exist_ok=True)
    for start in PORTS[::BLOCK_PORTS]:
        lock = (LOCKS / str(start)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        ports = list(range(start, start + BLOCK_PORTS))
        SystemRandom().shuffle(ports)
        return ports
    raise RuntimeError("other test processes have claimed all ports")


def make_command(module: str, *flags: str) -> tuple[str, ...]:
    """Return the command of a process that runs a module and ends with this process.

    Raises:
        RuntimeError: If not called in the main thread.
    """
    # The kernel kills the process at the end of the thread that started it.
    if threading.current_thread() is not threading.main_thread():
        raise RuntimeError("processes can be started in the main thread only")
    starter = "tests.stand_ins.child"
    return (sys.executable, "-m", starter, str(os.getpid()), module, *flags)


@define(eq=False)
class Process:
    """A process that a launcher started."""

    name: str
    child: asyncio.subprocess.Process
    log: Path
    flags: tuple[str, ...] = ()
    address: str = ""
    admin: str = ""
    """Address of a stand-in's switches; its `address` unless they are separate."""

    peer_address: str = ""
    """Address for other processes of the system; empty for a stand-in."""

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.child.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        # It may have ended before the event loop has noticed.
        with suppress(ProcessLookupError):
            if self.is_running:
                os.kill(self.child.pid, number)

    def kill(self) -> None:
        """Kill the process by SIGKILL."""
        self.send(signal.SIGKILL)

    def terminate(self) -> None:
        """Stop the process by SIGTERM."""
        self.send(signal.SIGTERM)

    def pause(self) -> None:
        """Pause the process by SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process by SIGCONT."""
        self.send(signal.SIGCONT)

    async def async_wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process, and return its exit code."""
        return await asyncio.wait_for(self.child.wait(), timeout_s)


@define
class Launcher:
    """Starts processes, and kills them all at the end of its context."""

    folder: Path
    """Folder for the processes' logs: their standard error, and often their output."""

    processes: list[Process] = field(factory=list)
    max_descriptors: int | None = field(default=None, kw_only=True)
    """Descriptors that each process may open; None for as many as this one."""

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.async_end_all()

    async def async_start(
        self, name: str, module: str, *flags: str, reads_output: bool = False
    ) -> Process:
        """Start a Python module as a process.

        Args:
            name: Name of the process and of its log file.
            module: Name of the module.
            flags: Arguments of the command line.
            reads_output: Whether the caller reads the standard output; otherwise it is
                the program's log, and goes to the same file as the standard error.
        """
        log = self.folder / f"{name}.log"
        with log.open("ab") as errors:
            child = await asyncio.create_subprocess_exec(
                *make_command(module, *flags),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if reads_output else errors,
                stderr=errors,
                pass_fds=[lock.fileno() for lock in _locks],
                preexec_fn=self._limit_descriptors,
            )
        process = Process(name, child, log, flags)
        self.processes.append(process)
        return process

    def _limit_descriptors(self) -> None:
        """Limit the descriptors of the process that was forked."""
        if self.max_descriptors is not None:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    async def async_start_stand_in(
        self, name: str, module: str, *flags: str
    ) -> Process:
        """Start a stand-in, and read its addresses from the line that it prints.

        It listens on a claimed port, so that processes which go on calling it after its
        end reach no server of another test. Its flags have the address.

        Raises:
            RuntimeError: If it ends without printing them.
        """
        if "--listen" not in flags:
            flags = (*flags, "--listen", find_free_address())
        process = await self.async_start(
            name, f"tests.stand_ins.{module}", *flags, reads_output=True
        )
        assert process.child.stdout is not None
        line = await asyncio.wait_for(process.child.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise RuntimeError(
                f"{name} ended before it printed its addresses: "
                f"{process.log.read_text()}"
            )
        addresses = json.loads(line)
        process.address = addresses["address"]
        process.admin = addresses.get("admin", process.address)
        return process

    def list_ended(self) -> list[str]:
        """Return the processes that have ended, each with the last line of its log."""
        return [
            f"{process.name} ended with {process.child.returncode}: "
            + process.log.read_text().strip().rpartition("\n")[2]
            for process in self.processes
            if not process.is_running
        ]

    async def async_end_all(self) -> None:
        """Kill every process that is still running."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            await process.async_wait()

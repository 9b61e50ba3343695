"""Child processes of a measurement and their resource usage."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from attrs import frozen

NANOSECONDS_PER_S = 1e9
KB_PER_MB = 1024


@frozen
class Child:
    """A running child process and its listening address."""

    pid: int
    address: str

    def read_cpu_s(self) -> float:
        """Return the processor time of the main thread in seconds."""
        fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
        return int(fields[0]) / NANOSECONDS_PER_S

    def read_memory_mb(self) -> float:
        """Return the resident memory."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KB_PER_MB
        return 0.0


@asynccontextmanager
async def start_child(module: str, *arguments: str) -> AsyncIterator[Child]:
    """Run a module as a child process, which stops when its standard input closes."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        line = await process.stdout.readline()
        yield Child(process.pid, json.loads(line)["address"])
    finally:
        process.stdin.close()
        await process.wait()

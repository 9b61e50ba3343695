"""Tests of started processes: the addresses that they listen on, and their end."""

import asyncio
import fcntl
import json
import os
import select
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from .launcher import BLOCK_PORTS, LOCKS, PORTS, ROOT, Launcher, find_free_address

PRINT_ADDRESS = (
    "from tests.stand_ins.launcher import find_free_address; print(find_free_address())"
)

PARENT = """
import asyncio, json, sys
from pathlib import Path
import aiohttp
from tests.stand_ins import launcher
from tests.stand_ins.child import end_with_parent
from tests.stand_ins.fleet import Fleet

async def run():
    async with launcher.Launcher(Path(sys.argv[2])) as own:
        async with aiohttp.ClientSession() as session:
            fleet = Fleet(own, session)
            await fleet.async_start_platform()
            gateway = await fleet.async_start_gateway()
            await fleet.async_wait_started()
            for lock in launcher._locks:
                lock.close()
            pids = {each.name: each.child.pid for each in own.processes}
            print(json.dumps({"address": gateway.address, "pids": pids}), flush=True)
            await asyncio.Event().wait()

end_with_parent(int(sys.argv[1]))
asyncio.run(run())
"""
"""Starts a gateway and its platform, closes its files of claimed ports, and waits."""

END_TIMEOUT_S = 5.0
"""Time from the end of a process until the ones that it started have ended."""


def find_block(address: str) -> int:
    return int(address.rpartition(":")[2]) // BLOCK_PORTS


@contextmanager
def start_parent(folder: Path) -> Iterator[tuple[subprocess.Popen[str], Any]]:
    """Start a process that starts others, and return it with what it prints."""
    command = [sys.executable, "-c", PARENT, str(os.getpid()), str(folder)]
    with subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True
    ) as parent:
        assert parent.stdout is not None
        try:
            yield parent, json.loads(parent.stdout.readline())
        finally:
            parent.kill()


class TestFindFreeAddress:
    """Addresses for several test processes at once."""

    def test_processes_share_no_ports(self) -> None:
        """An edge ended at its start, since another test run had taken its port."""
        own = find_block(find_free_address())
        other = subprocess.run(
            [sys.executable, "-c", PRINT_ADDRESS],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        assert find_block(other.stdout) != own

    def test_each_address_is_new(self) -> None:
        addresses = [find_free_address() for _ in range(100)]
        assert len(set(addresses)) == len(addresses)

    def test_ports_stay_claimed_until_all_started_processes_have_ended(
        self, tmp_path: Path
    ) -> None:
        """Another run got the ports of a run whose processes were still running."""
        with start_parent(tmp_path) as (_, started):
            path = LOCKS / str(find_block(started["address"]) * BLOCK_PORTS)
            with path.open("w") as lock, pytest.raises(BlockingIOError):
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)


@pytest.mark.process
class TestStandIns:
    """Addresses of started stand-ins."""

    async def test_ports_of_ended_stand_ins_go_to_no_other_test(
        self, tmp_path: Path
    ) -> None:
        """The kernel gave them to servers of other tests, which got the calls."""
        async with Launcher(tmp_path) as own:
            first = await own.async_start_stand_in("hosts", "host_list")
            relay = await own.async_start_stand_in(
                "relay", "relay", f"--target={first.address}"
            )
            for each in (first, relay):
                assert find_block(each.address) * BLOCK_PORTS in PORTS

    async def test_address_of_the_caller_is_kept(self, tmp_path: Path) -> None:
        address = find_free_address()
        async with Launcher(tmp_path) as own:
            for name in ("first", "again"):
                process = await own.async_start_stand_in(
                    name, "host_list", "--listen", address
                )
                assert process.address == address
                process.kill()
                await process.async_wait()


@pytest.mark.process
class TestEnd:
    """Started processes after the end of the one that started them."""

    @pytest.mark.parametrize("paused", [False, True])
    def test_started_processes_end_with_a_killed_test_process(
        self, tmp_path: Path, *, paused: bool
    ) -> None:
        """Processes of an interrupted run sent requests to servers of later runs."""
        with start_parent(tmp_path) as (parent, started):
            assert started["pids"].keys() == {"key-value", "host-list", "gateway-0"}
            handles = [os.pidfd_open(pid) for pid in started["pids"].values()]
            try:
                for handle in handles:
                    if paused:
                        signal.pidfd_send_signal(handle, signal.SIGSTOP)
                parent.kill()
                parent.wait(END_TIMEOUT_S)
                for handle in handles:
                    # Such a handle becomes readable when its process ends.
                    assert select.select([handle], [], [], END_TIMEOUT_S)[0]
            finally:
                for handle in handles:
                    with suppress(ProcessLookupError):
                        signal.pidfd_send_signal(handle, signal.SIGKILL)
                    os.close(handle)

    def test_process_whose_parent_has_ended_before_it_runs_ends(self) -> None:
        """No signal comes for a parent that ends before it is requested."""
        own = os.getpid()
        code = f"from tests.stand_ins.child import *; end_with_parent({own + 1})"
        ended = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        assert f"parent process {own + 1} has ended" in ended.stderr

    async def test_start_in_another_thread_is_rejected(self, tmp_path: Path) -> None:
        """The kernel kills a process at the end of the thread that started it."""
        own = Launcher(tmp_path)

        def start() -> None:
            asyncio.run(own.async_start("kv", "tests.stand_ins.key_value"))

        with pytest.raises(RuntimeError, match="main thread"):
            await asyncio.to_thread(start)
        await own.async_end_all()

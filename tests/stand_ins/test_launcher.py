"""Tests of the addresses that started processes listen on."""

import subprocess
import sys

from .launcher import BLOCK_PORTS, ROOT, find_free_address

PRINT_ADDRESS = (
    "from tests.stand_ins.launcher import find_free_address; print(find_free_address())"
)


def find_block(address: str) -> int:
    return int(address.rpartition(":")[2]) // BLOCK_PORTS


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

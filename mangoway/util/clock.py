"""Clocks that decisions about leases rest on."""

import time


def read_boot_clock() -> float:
    """Return seconds on a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Clock for decisions about leases."""

import time


def read_boot_clock() -> float:
    """Return seconds of a clock that also advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

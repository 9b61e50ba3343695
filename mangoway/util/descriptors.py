"""Descriptors of this process."""

import resource


def read_max_descriptors() -> int:
    """Return the number of descriptors that this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft

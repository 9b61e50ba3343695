"""Ranges of keys that share a prefix."""


def find_prefix_end(prefix: bytes) -> bytes:
    """Return the first key behind all keys with a prefix."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        # The interface's own sign for "to the end of all keys".
        return b"\x00"
    return stripped[:-1] + bytes([stripped[-1] + 1])

"""Ranges of keys that share a prefix."""


def find_prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with a prefix."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        # In the etcd API a zero byte stands for the end of all keys.
        return b"\x00"
    return stripped[:-1] + bytes([stripped[-1] + 1])

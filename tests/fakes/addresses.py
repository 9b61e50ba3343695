"""Texts that are no address of a listener, for tests of all that connects."""

UNUSABLE_ADDRESSES = (
    "10.0.0.1\0:80",
    "...:80",
    "a" * 64 + ".example:80",
    "\ud800:80",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1:http",
    "127.0.0.1",
    "",
)
"""Connecting to them raises errors of different types, for example ValueError,
UnicodeError and OverflowError."""

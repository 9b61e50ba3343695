"""Format of stored values: the nonce of the write, followed by the value."""

from typing import Final

from attrs import frozen

from .const import NONCE_BYTES

MAGIC: Final = b"\x00mw1"
"""Prefix of an enveloped value; a value without it is from another program."""


@frozen
class Envelope:
    """Value with the nonce of the write that stored it."""

    nonce: bytes
    value: bytes

    def encode(self) -> bytes:
        """Return the bytes to store."""
        return MAGIC + self.nonce + self.value

    @classmethod
    def decode(cls, data: bytes) -> "Envelope":
        """Decode stored bytes; a value without an envelope has an empty nonce."""
        start = len(MAGIC) + NONCE_BYTES
        if not data.startswith(MAGIC) or len(data) < start:
            return cls(b"", data)
        return cls(data[len(MAGIC) : start], data[start:])

"""The form of stored values: the writer's nonce before the value itself."""

from typing import Final

from attrs import frozen

from .const import NONCE_BYTES

MAGIC: Final = b"\x00mw1"
"""Starts an enveloped value; a value without it was written by another program."""


@frozen
class Envelope:
    """A value with the nonce of the write that put it there."""

    nonce: bytes
    value: bytes

    def encode(self) -> bytes:
        """Return the bytes that are stored."""
        return MAGIC + self.nonce + self.value

    @classmethod
    def decode(cls, data: bytes) -> "Envelope":
        """Read stored bytes; a value without an envelope has an empty nonce."""
        start = len(MAGIC) + NONCE_BYTES
        if not data.startswith(MAGIC) or len(data) < start:
            return cls(b"", data)
        return cls(data[len(MAGIC) : start], data[start:])

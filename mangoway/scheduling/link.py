"""One end of a link: the connection between a scheduler and an edge or a standby."""

import asyncio
from collections.abc import Callable
from typing import Final

from ..observability.failures import log_failure
from ..util.address import get_peer_address
from .codec import (
    MAX_PAYLOAD_BYTES,
    CodecError,
    FrameReader,
    decode_payload,
    encode_frame,
)
from .messages import Message

MAX_UNSENT_BYTES: Final = 1 << 20
"""Unsent bytes, thousands of messages, above which the connection is closed."""


class Link(asyncio.Protocol):
    """Sends and receives messages; those of one event loop turn share a frame."""

    def __init__(
        self,
        edge: str,
        on_message: "Callable[[Link, Message], None]",
        on_lost: "Callable[[Link, str], None]",
    ) -> None:
        self.edge = edge
        """Incarnation of the edge or standby; empty at the scheduler until the hello
        arrives."""

        self._on_message = on_message
        self._on_lost = on_lost
        self._frame_reader = FrameReader()
        self._max_payload_bytes = MAX_PAYLOAD_BYTES
        self._loop = asyncio.get_running_loop()
        self._outgoing: list[Message] = []
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self.last_received_at = self._loop.time()
        """When the last bytes were received, in the event loop's time."""

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self._transport is not None and not self._closed

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of a frame that is not complete."""
        return self._frame_reader.buffered_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the other end has yet to read."""
        if self._transport is None or self._closed:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def peer(self) -> str:
        """Return the address of the other end."""
        return "" if self._transport is None else get_peer_address(self._transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decode received bytes and handle their messages."""
        self.last_received_at = self._loop.time()
        self._frame_reader.receive(data)
        try:
            while not self._closed:
                payload = self._frame_reader.read_payload()
                if payload is None:
                    return
                messages = decode_payload(payload, self.edge, self._max_payload_bytes)
                for message in messages:
                    self._handle(message)
        except CodecError as error:
            self.close(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        """Report the lost connection to the owner."""
        self._handle_connection_lost(
            repr(error) if error else "closed by the other end"
        )

    def send(self, message: Message) -> None:
        """Send a message together with the others of this event loop turn."""
        if not self.is_open:
            return
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        self._outgoing.append(message)

    def send_frame(self, frame: bytes) -> None:
        """Send a frame that was encoded for many links, after the pending messages."""
        self._flush()
        self._write(frame)

    def close(self, reason: str) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._handle_connection_lost(reason)

    def _handle(self, message: Message) -> None:
        """Handle a message; an error must not close the link for all others."""
        try:
            self._on_message(self, message)
        except Exception as error:
            log_failure(error)

    def _flush(self) -> None:
        messages, self._outgoing = self._outgoing, []
        if messages:
            self._write(encode_frame(messages))

    def _write(self, frame: bytes) -> None:
        if not self.is_open or self._transport is None:
            return
        if self._transport.is_closing():
            return
        self._transport.write(frame)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close("the other end does not read its messages")

    def _handle_connection_lost(self, reason: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._on_lost(self, reason)

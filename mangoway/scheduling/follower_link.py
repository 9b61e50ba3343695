"""The scheduler's end of a link, which bounds what the other end makes it hold."""

import asyncio
from collections.abc import Callable
from typing import Final

from .link import Link
from .messages import Hello, Message

HELLO_TIMEOUT_S: Final = 5.0
"""Time within which the other end must say who it is. Followers do so at once."""

MAX_HELLO_BYTES: Final = 16_384
"""Largest frame of an end that has not said who it is; hellos have some 100 bytes."""

MAX_HELLO_PAYLOAD_BYTES: Final = 65_536

MAX_FOLLOWER_FRAME_BYTES: Final = 1 << 20
"""Largest frame of a follower. The longest ones list its requests in progress for a new
scheduler, some 400 bytes each before compression."""

MAX_FOLLOWER_PAYLOAD_BYTES: Final = 1 << 21


class FollowerLink(Link):
    """A link that was opened by the other end, which must say hello first."""

    def __init__(
        self,
        on_message: Callable[[Link, Message], None],
        on_lost: Callable[[Link, str], None],
        on_made: "Callable[[FollowerLink], None]",
        on_buffered: "Callable[[FollowerLink], None]",
        on_rejected: Callable[[str, str], None] = lambda reason, peer: None,
    ) -> None:
        super().__init__("", self._check_message, on_lost)
        self._handle_message = on_message
        self._on_made = on_made
        self._on_buffered = on_buffered
        self._on_rejected = on_rejected
        self._timer: asyncio.TimerHandle | None = None
        self._frame_reader.max_frame_bytes = MAX_HELLO_BYTES
        self._max_payload_bytes = MAX_HELLO_PAYLOAD_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time within which a hello must arrive."""
        super().connection_made(transport)
        self._timer = self._loop.call_later(
            HELLO_TIMEOUT_S, self.close, "the other end did not say who it is"
        )
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Decode received bytes, and report what remains of an incomplete frame."""
        super().data_received(data)
        if not self._closed:
            self._on_buffered(self)

    def close(self, reason: str) -> None:
        """Close the connection at once; report it if the other end is unknown."""
        if not self.edge and not self._closed:
            self._on_rejected(reason, self.peer)
        super().close(reason)

    def _check_message(self, link: Link, message: Message) -> None:
        """Handle a message unless it is a second hello or comes before the first."""
        if self._closed:
            return
        if isinstance(message, Hello) == bool(self.edge):
            self.close("the other end sent a message out of turn")
            return
        if isinstance(message, Hello):
            self._accept()
        self._handle_message(link, message)

    def _accept(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._frame_reader.max_frame_bytes = MAX_FOLLOWER_FRAME_BYTES
        self._max_payload_bytes = MAX_FOLLOWER_PAYLOAD_BYTES

    def _handle_connection_lost(self, reason: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._frame_reader.clear()
        super()._handle_connection_lost(reason)

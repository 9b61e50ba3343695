"""Response to one request of a caller."""

from typing import TYPE_CHECKING

from .messages import Headers
from .response_memory import CallerHolding

if TYPE_CHECKING:
    from .server import CallerConnection


class CallerGoneError(Exception):
    """The caller closed the connection before the response was complete."""


class Exchange:
    """Response to one request."""

    def __init__(self, connection: "CallerConnection") -> None:
        self._connection = connection
        self.started = False
        """Whether the head of the response was written."""

    @property
    def holding(self) -> CallerHolding:
        """Return the bytes that are held for the caller's connection."""
        return self._connection.holding

    def start(
        self, status: int, reason: bytes, headers: Headers, *, close: bool = False
    ) -> None:
        """Write the head of the response."""
        self.started = True
        self._connection.write_head(status, reason, headers, close=close)

    async def async_write(self, data: bytes) -> None:
        """Write a part of the body; wait while the caller does not read.

        Raises:
            CallerGoneError: If the connection is lost.
        """
        await self._connection.async_write_body(data)

    def finish(self) -> None:
        """Write the end of the response."""
        self._connection.finish_response()

    def answer(
        self, status: int, headers: Headers, body: bytes, *, close: bool = False
    ) -> None:
        """Write a complete response."""
        sized = (*headers, (b"Content-Length", b"%d" % len(body)))
        self.start(status, b"", sized, close=close)
        self._connection.write_part(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection so that the response cannot look complete."""
        self._connection.abort()

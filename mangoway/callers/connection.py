"""A caller's connection, with limits on callers that stall it."""

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .const import HEADERS_TIMEOUT_S, UNREAD_TIMEOUT_S


class CallerConnection(HttpToolsProtocol):
    """Closes where a request's headers do not come, or the answer is not read.

    The library bounds only the time between two requests, and only until the first
    byte of the next. Each end is logged as a warning of the library.
    """

    _headers_timer: asyncio.TimerHandle | None = None
    _unread_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for the headers of the first request."""
        super().connection_made(transport)
        self._await_headers()

    def connection_lost(self, exc: Exception | None) -> None:
        """Wait no longer."""
        super().connection_lost(exc)
        self._stop_headers_timer()
        self._stop_unread_timer()

    def data_received(self, data: bytes) -> None:
        """Take bytes; those of a next request begin the wait for its headers."""
        super().data_received(data)
        if self._headers_timer is None and self._is_between_requests():
            self._await_headers()

    def on_headers_complete(self) -> None:
        """Begin the request."""
        self._stop_headers_timer()
        super().on_headers_complete()

    def pause_writing(self) -> None:
        """Begin to wait until the caller reads what is buffered."""
        super().pause_writing()
        self._unread_timer = self.loop.call_later(
            UNREAD_TIMEOUT_S, self._abort, "the caller does not read its answer"
        )

    def resume_writing(self) -> None:
        """Go on, since the caller has read."""
        self._stop_unread_timer()
        super().resume_writing()

    def _is_between_requests(self) -> bool:
        idle = self.cycle is None or self.cycle.response_complete
        return idle and not self.transport.is_closing()

    def _await_headers(self) -> None:
        self._headers_timer = self.loop.call_later(
            HEADERS_TIMEOUT_S, self._abort, "the headers of a request did not come"
        )

    def _stop_headers_timer(self) -> None:
        if self._headers_timer is not None:
            self._headers_timer.cancel()
            self._headers_timer = None

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _abort(self, reason: str) -> None:
        self.logger.warning("%s: %s", self.client, reason)
        self.transport.abort()

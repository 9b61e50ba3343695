"""Connections of callers, with timeouts for stalled callers."""

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .const import HEADERS_TIMEOUT_S, UNREAD_TIMEOUT_S


class CallerConnection(HttpToolsProtocol):
    """Connection that is aborted on incomplete headers or an unread response.

    uvicorn limits only the time between two requests, and only until the first byte
    of the next one. Each abort is logged as a warning of uvicorn's logger.
    """

    _headers_timer: asyncio.TimerHandle | None = None
    _unread_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the headers of the first request."""
        super().connection_made(transport)
        self._start_headers_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        super().connection_lost(exc)
        self._stop_headers_timer()
        self._stop_unread_timer()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; the first ones of a new request start its headers timeout."""
        super().data_received(data)
        if self._headers_timer is None and self._is_between_requests():
            self._start_headers_timer()

    def on_headers_complete(self) -> None:
        """Stop the headers timeout and start the request."""
        self._stop_headers_timer()
        super().on_headers_complete()

    def pause_writing(self) -> None:
        """Start the timeout for a caller that does not read."""
        super().pause_writing()
        self._unread_timer = self.loop.call_later(
            UNREAD_TIMEOUT_S,
            self._abort,
            "timeout while waiting for the caller to read its response",
        )

    def resume_writing(self) -> None:
        """Stop the timeout, since the caller has read."""
        self._stop_unread_timer()
        super().resume_writing()

    def _is_between_requests(self) -> bool:
        idle = self.cycle is None or self.cycle.response_complete
        return idle and not self.transport.is_closing()

    def _start_headers_timer(self) -> None:
        self._headers_timer = self.loop.call_later(
            HEADERS_TIMEOUT_S,
            self._abort,
            "timeout while waiting for the headers of a request",
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

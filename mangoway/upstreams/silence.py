"""Detection of silent streams at no cost per read."""

import asyncio

import aiohttp

CHECKS_PER_LIMIT = 4
"""Checks per limit; silence is detected at most a quarter of the limit too late."""


class SilenceWatch:
    """Closes a response on which no byte is received for `limit_s`.

    Each check compares the number of received bytes with that of the last check. The
    read timeout of aiohttp would set a new timer at each read, which takes a tenth of
    the cost of a streamed event.
    """

    def __init__(self, response: aiohttp.ClientResponse, limit_s: float) -> None:
        self.silent = False
        """Whether the response was closed for silence."""

        self._response = response
        self._period_s = limit_s / CHECKS_PER_LIMIT
        self._received = response.content.total_bytes
        self._silent_checks = 0
        _disable_read_timeout(response)
        self._schedule_check()

    def stop(self) -> None:
        """Stop checking."""
        self._timer.cancel()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._period_s, self._check)

    def _check(self) -> None:
        received = self._response.content.total_bytes
        self._silent_checks = (
            0 if received != self._received else self._silent_checks + 1
        )
        self._received = received
        if self._silent_checks >= CHECKS_PER_LIMIT:
            self.silent = True
            self._response.close()
        else:
            self._schedule_check()


def _disable_read_timeout(response: aiohttp.ClientResponse) -> None:
    connection = response.connection
    # It is None once the whole body has been received.
    if connection is not None and connection.protocol is not None:
        connection.protocol.read_timeout = None

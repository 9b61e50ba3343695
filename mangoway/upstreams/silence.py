"""Notices streams that have gone silent, at no cost for each read."""

import asyncio

import aiohttp

CHECKS_PER_LIMIT = 4
"""Looks per limit; silence is noticed within a quarter of the limit after it."""


class SilenceWatch:
    """Closes a response that brings no byte for a time.

    It compares the bytes received at each look. The library's own limit arms a new
    timer at each read instead, which costs a tenth of a streamed event.
    """

    def __init__(self, response: aiohttp.ClientResponse, limit_s: float) -> None:
        self.silent = False
        """Whether it closed the response."""

        self._response = response
        self._period_s = limit_s / CHECKS_PER_LIMIT
        self._received = response.content.total_bytes
        self._quiet_looks = 0
        _drop_own_limit(response)
        self._arm()

    def stop(self) -> None:
        """Watch no longer."""
        self._timer.cancel()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._period_s, self._look)

    def _look(self) -> None:
        received = self._response.content.total_bytes
        self._quiet_looks = 0 if received != self._received else self._quiet_looks + 1
        self._received = received
        if self._quiet_looks >= CHECKS_PER_LIMIT:
            self.silent = True
            self._response.close()
        else:
            self._arm()


def _drop_own_limit(response: aiohttp.ClientResponse) -> None:
    connection = response.connection
    # None once the whole body is here.
    if connection is not None and connection.protocol is not None:
        connection.protocol.read_timeout = None

"""The host list through the HTTP service-discovery format of Prometheus."""

import aiohttp

from ..models.errors import ErrorCode, MangowayError
from .const import MAX_LISTING_BYTES, READ_TIMEOUT_S
from .listing import HostListing
from .parser import parse_listing
from .registry import register_host_list


@register_host_list("http")
class HttpHostList:
    """Reads the list with a GET; a connection that fails is not used again."""

    def __init__(self, url: str, timeout_s: float = READ_TIMEOUT_S) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def async_read(self) -> HostListing:
        """Read the list once.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE if there is no whole list to be had.
        """
        try:
            return parse_listing(await self._async_get())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise MangowayError(
                ErrorCode.PLATFORM_UNAVAILABLE, f"host list: {error!r}"
            ) from error

    async def async_close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _async_get(self) -> bytes:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        async with self._session.get(self._url) as response:
            response.raise_for_status()
            body = await response.content.read(MAX_LISTING_BYTES + 1)
            while not response.content.at_eof() and len(body) <= MAX_LISTING_BYTES:
                body += await response.content.read(MAX_LISTING_BYTES + 1)
        if len(body) > MAX_LISTING_BYTES:
            raise ValueError(f"longer than {MAX_LISTING_BYTES} bytes")
        return body

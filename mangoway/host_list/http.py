"""Host list adapter for the HTTP service discovery format of Prometheus."""

from urllib.parse import urlsplit

from ..models.errors import ErrorCode, MangowayError
from ..settings.errors import SettingError
from ..upstreams.exchange import ExchangeRequest, async_exchange
from .const import DEFAULT_PORT, MAX_LISTING_BYTES, READ_TIMEOUT_S, SCHEME
from .listing import HostListing
from .parser import parse_listing
from .registry import register_host_list


@register_host_list("http")
class HttpHostList:
    """Reads the list with a GET on a new connection each time.

    This way no connection can become silent between two reads, and a controller does
    not import a full HTTP client.

    Raises:
        SettingError: If the scheme of the URL is not http.
    """

    def __init__(self, url: str, timeout_s: float = READ_TIMEOUT_S) -> None:
        self._body: bytes | None = None
        self._listing = HostListing()
        """Parsed form of `_body`, reused since most reads return an unchanged body."""

        parts = urlsplit(url)
        if parts.scheme != SCHEME:
            raise SettingError("--host-list-url", f"expected an {SCHEME}:// URL")
        path = parts.path or "/"
        self._request = ExchangeRequest(
            method="GET",
            address=f"{parts.hostname}:{parts.port or DEFAULT_PORT}",
            path=f"{path}?{parts.query}" if parts.query else path,
            timeout_s=timeout_s,
            limit_bytes=MAX_LISTING_BYTES,
        )

    async def async_read(self) -> HostListing:
        """Read the list once.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE if no complete list can be read.
        """
        try:
            body = await async_exchange(self._request)
            if body != self._body:
                self._listing = parse_listing(body)
                self._body = body
        except (MangowayError, ValueError) as error:
            raise MangowayError(
                ErrorCode.PLATFORM_UNAVAILABLE, f"host list: {error}"
            ) from error
        return self._listing

    async def async_close(self) -> None:
        """Do nothing, since no connection is kept open."""

"""HTTP messages as they are forwarded: names, order and case kept."""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in their order, names as they were sent."""

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that concern one connection only (RFC 9110, section 7.6.1)."""


@frozen(kw_only=True)
class Request:
    """A whole request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def find(self, name: bytes) -> str | None:
        """Return the value of a field, given in lower case; None without it."""
        return find_header(self.headers, name)


@frozen(kw_only=True)
class ResponseHead:
    """Status line and fields of a response."""

    status: int
    reason: bytes
    headers: Headers

    def find(self, name: bytes) -> str | None:
        """Return the value of a field, given in lower case; None without it."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a field, given in lower case; None without it."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def drop_headers(headers: Headers, dropped: Iterable[bytes]) -> Headers:
    """Return the fields without those named in lower case."""
    names = frozenset(dropped)
    return tuple(each for each in headers if each[0].lower() not in names)


def list_end_to_end(headers: Headers) -> Headers:
    """Return the fields that are forwarded: all but those of the connection."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    return drop_headers(headers, HOP_BY_HOP | named)

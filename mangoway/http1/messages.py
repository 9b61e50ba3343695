"""HTTP messages; order and case of field names are kept when forwarded."""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

Headers = tuple[tuple[bytes, bytes], ...]
"""Names and values of header fields, in the order and case of the sender."""

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
"""Fields that apply to a single connection only (RFC 9110, section 7.6.1)."""


@frozen(kw_only=True)
class Request:
    """Complete request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def find(self, name: bytes) -> str | None:
        """Return the first value of a field, named in lower case, or None."""
        return find_header(self.headers, name)


@frozen(kw_only=True)
class ResponseHead:
    """Status line and fields of a response."""

    status: int
    reason: bytes
    headers: Headers

    def find(self, name: bytes) -> str | None:
        """Return the first value of a field, named in lower case, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a field, or None.

    Args:
        headers: Fields to search.
        name: Field name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def drop_headers(headers: Headers, dropped: Iterable[bytes]) -> Headers:
    """Return the fields without the dropped ones, which are given in lower case."""
    names = frozenset(dropped)
    return tuple(each for each in headers if each[0].lower() not in names)


def list_end_to_end(headers: Headers) -> Headers:
    """Return the fields that are forwarded: all but hop-by-hop fields."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    return drop_headers(headers, HOP_BY_HOP | named)

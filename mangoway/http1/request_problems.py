"""Reasons for which a request is rejected before its body is read."""

from typing import Final

import h11
from attrs import frozen

LINE_OVERHEAD_BYTES: Final = 4
"""Bytes of a header line besides name and value: colon, space and line end."""

FIELD_MEMORY_BYTES: Final = 256
"""Memory of a parsed header field beyond its name and value: its tuples and strings, as
it was sent and in lower case."""

UNCOUNTED_HEAD_BYTES: Final = 4096
"""Memory of a head that doesn't count. Ordinary heads need less, so that their requests
are counted by their bodies alone."""


@frozen(kw_only=True)
class RequestProblem:
    """Status and reason with which a request is rejected before its body is read."""

    status: int
    reason: str


MEMORY_SHORT: Final = RequestProblem(
    status=503, reason="this host holds too many bytes for other callers"
)

TOO_MANY: Final = RequestProblem(
    status=503, reason="this host has too many connections"
)


def find_problem(head: h11.Request, max_bytes: int) -> RequestProblem | None:
    """Return the status and reason if a request is rejected for its head, or None.

    In h11 Transfer-Encoding takes precedence over Content-Length. A request with both
    is rejected, since another parser may read it as two requests.
    """
    size = len(head.target) + sum(
        len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in head.headers
    )
    if size > max_bytes:
        # h11 applies its limit only to heads that arrive in several parts.
        return RequestProblem(status=431, reason="the header fields are too large")
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return RequestProblem(
            status=400, reason="both Content-Length and Transfer-Encoding are given"
        )
    if b"transfer-encoding" in names and head.http_version != b"1.1":
        return RequestProblem(status=400, reason="Transfer-Encoding requires HTTP/1.1")
    if names.count(b"host") > 1:
        return RequestProblem(status=400, reason="more than one Host header")
    if b"upgrade" in names or head.method == b"CONNECT":
        return RequestProblem(status=501, reason="protocol upgrades are not supported")
    return None


def measure_head(head: h11.Request) -> int:
    """Return the memory of a parsed head in bytes beyond that of an ordinary one."""
    size = len(head.headers) * FIELD_MEMORY_BYTES + sum(
        len(name) + len(value) for name, value in head.headers
    )
    return max(0, size - UNCOUNTED_HEAD_BYTES)

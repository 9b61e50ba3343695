"""Requests of callers and the responses to them, independent of the transport."""

from collections.abc import AsyncGenerator, Mapping
from typing import Any

from attrs import field, frozen

from ..models.request import Request


@frozen(kw_only=True)
class IncomingRequest:
    """Request as received from a caller or from another gateway."""

    method: str
    path: str
    headers: Mapping[str, str]
    """Header values by lower-case name."""

    body: bytes = field(repr=False)
    hops: int = 0
    """Number of gateways that forwarded the request before."""

    deadline_s: float | None = None
    """Seconds left until the deadline, as computed by the forwarding gateway."""


@frozen(kw_only=True)
class Submission:
    """Validated request with the data that is sent to the upstream."""

    request: Request
    incoming: IncomingRequest
    prompt: str = field(default="", repr=False)
    parameters: Mapping[str, Any] = field(factory=dict)
    """Fields of a completion's body that are passed on unchanged."""

    model_name: str = ""
    """Model name as given by the caller."""


@frozen(kw_only=True)
class OutgoingResponse:
    """Response to a caller or another gateway; the body may be streamed in parts."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncGenerator[bytes, None]

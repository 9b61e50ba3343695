"""A caller's request and its answer, whatever carries them."""

from collections.abc import AsyncGenerator, Mapping
from typing import Any

from attrs import field, frozen

from ..models.request import Request


@frozen(kw_only=True)
class IncomingRequest:
    """A request as it arrived, from a caller or through another gateway."""

    method: str
    path: str
    headers: Mapping[str, str]
    """Header values by lower-case name."""

    body: bytes = field(repr=False)
    hops: int = 0
    """Gateways that forwarded it before."""

    deadline_s: float | None = None
    """Seconds left, as the forwarding gateway counted them."""


@frozen(kw_only=True)
class Submission:
    """A checked request with what the upstream needs of it."""

    request: Request
    incoming: IncomingRequest
    prompt: str = field(default="", repr=False)
    parameters: Mapping[str, Any] = field(factory=dict)
    """Fields of a completion's body that are passed on as they are."""

    model_name: str = ""
    """Model name as the caller wrote it."""


@frozen(kw_only=True)
class OutgoingAnswer:
    """An answer whose body is whole or comes in parts."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncGenerator[bytes, None]

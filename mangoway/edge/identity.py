"""Identities of requests, which are equal each time the same request arrives."""

from base64 import urlsafe_b64encode
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Final

from ..http1.messages import Request
from ..models.crash import RequestIdentity
from ..platform.requests import RequestFields

DIGEST_BYTES: Final = 9
"""Length of a digest, which takes 12 characters as text. At a million requests an hour,
two digests collide once in ten billion hours, and a collision with another request
can't be forged. Short digests matter because each request that a crash interrupts is
reported to all hosts."""

STREAM_BYTES: Final = 8
"""Length of the digest of a stream, which takes 11 characters as text. Hosts keep
thousands of them for a minute."""

CREDENTIALS: Final = b"authorization"

SharedProperties = Callable[[RequestFields], Iterable[str]]

SHARED_PROPERTIES: Final[dict[str, SharedProperties]] = {}
"""Functions that return the values of a property that other requests may share, by the
kind of the property."""


def shared_property(kind: str) -> Callable[[SharedProperties], SharedProperties]:
    """Register a property of requests that may make runners crash by itself.

    Args:
        kind: Name of the property in identities, log lines and stored keys.
    """

    def register(function: SharedProperties) -> SharedProperties:
        SHARED_PROPERTIES[kind] = function
        return function

    return register


@shared_property("part")
def list_shared_parts(fields: RequestFields) -> Iterable[str]:
    """Return the parts of the prompt that other requests may share."""
    return (each.part_id for each in fields.prompt.shared_parts)


def identify_request(request: Request, fields: RequestFields) -> RequestIdentity:
    """Return the identity of a request.

    Headers that differ each time the request is sent (id, deadline, last event id) are
    excluded.
    """
    prompt = fields.prompt
    parts = ",".join(f"{each.part_id}:{each.tokens}" for each in prompt.parts)
    host = (request.find(b"host") or "").encode()
    credentials = (request.find(CREDENTIALS) or "").encode()
    return RequestIdentity(
        content=_digest(request.method, host, request.target, request.body),
        variant=_digest(credentials, fields.artifact.encode(), parts.encode()),
        shared=tuple(
            RequestIdentity(_digest(kind.encode(), value.encode()), kind)
            for kind, list_values in SHARED_PROPERTIES.items()
            for value in list_values(fields)
        ),
    )


def identify_stream(customer: str | None, origin_id: str) -> str:
    """Return the digest of a stream, which no other customer's request can name.

    Args:
        customer: Name of the customer; None if it is unknown.
        origin_id: ID of the request that brought the first event.
    """
    return _digest((customer or "").encode(), origin_id.encode(), size=STREAM_BYTES)


def _digest(*values: bytes, size: int = DIGEST_BYTES) -> str:
    hasher = blake2b(digest_size=size)
    for value in values:
        # The length marks the boundary between two values.
        hasher.update(b"%d:" % len(value))
        hasher.update(value)
    return urlsafe_b64encode(hasher.digest()).decode().rstrip("=")

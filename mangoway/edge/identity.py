"""Identities of requests, which are equal each time the same request arrives."""

from base64 import urlsafe_b64encode
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

CREDENTIALS: Final = b"authorization"


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
    )


def _digest(*values: bytes) -> str:
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for value in values:
        # The length marks the boundary between two values.
        hasher.update(b"%d:" % len(value))
        hasher.update(value)
    return urlsafe_b64encode(hasher.digest()).decode()

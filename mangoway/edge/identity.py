"""Tells which requests are the same, whatever their ids."""

from base64 import urlsafe_b64encode
from hashlib import blake2b
from typing import Final

from ..http1.messages import Request
from ..models.crash import RequestIdentity
from ..platform.requests import RequestFields

DIGEST_BYTES: Final = 9
"""Length of a digest, 12 characters as text. Two of the million requests of an hour are
alike by chance once in ten billion hours, and nobody finds one that passes for
another's. All hosts are told of each request that a crash cuts off."""

CREDENTIALS: Final = b"authorization"


def identify(request: Request, fields: RequestFields) -> RequestIdentity:
    """Return the identity of a request.

    Fields that differ from one arrival to the next (id, time limit, event to go on
    after) have no part in it.
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
        # The length keeps the border between two values.
        hasher.update(b"%d:" % len(value))
        hasher.update(value)
    return urlsafe_b64encode(hasher.digest()).decode()

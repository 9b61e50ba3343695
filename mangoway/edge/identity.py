"""Tells which requests are the same, whatever their ids."""

from hashlib import blake2b
from typing import Final

from ..http1.messages import Request
from ..models.crash import RequestIdentity
from ..platform.requests import RequestFields

DIGEST_BYTES: Final = 12
"""Length of a digest. With 96 bits two of a billion requests are alike by chance once
in 10^11 fleets, and nobody finds a request that passes for another's."""

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
    return hasher.hexdigest()

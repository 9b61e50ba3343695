"""Reading of request bodies with limits on size and time."""

import asyncio

from blacksheep.exceptions import MessageAborted
from blacksheep.messages import Request

from ..models.errors import ErrorCode, MangowayError


async def async_read_body(request: Request, max_bytes: int, timeout_s: float) -> bytes:
    """Return the body of a request.

    Raises:
        MangowayError: BODY_TOO_LARGE, MALFORMED_REQUEST if the body is not received
            within `timeout_s`, or CANCELLED if the caller closed the connection.
    """
    length = request.get_first_header(b"content-length")
    if length is not None and length.isdigit() and int(length) > max_bytes:
        raise _make_too_large_error(max_bytes)
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for part in request.stream():  # type: ignore[attr-defined]
                body.extend(part or b"")
                if len(body) > max_bytes:
                    raise _make_too_large_error(max_bytes)
    except TimeoutError:
        raise MangowayError(
            ErrorCode.MALFORMED_REQUEST,
            f"the body was not received within {timeout_s:g} seconds",
        ) from None
    except MessageAborted:
        raise MangowayError(
            ErrorCode.CANCELLED, "the caller closed the connection"
        ) from None
    return bytes(body)


def _make_too_large_error(max_bytes: int) -> MangowayError:
    return MangowayError(
        ErrorCode.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
    )

"""Reading of request bodies with limits on size and time."""

import asyncio

from blacksheep.exceptions import MessageAborted
from blacksheep.messages import Request

from ..models.errors import ErrorCode, MangowayError
from .input_budget import InputBudget


async def async_read_body(
    request: Request,
    max_bytes: int,
    timeout_s: float,
    budget: InputBudget | None = None,
) -> bytes:
    """Return the body of a request.

    Args:
        request: The request.
        max_bytes: Largest body.
        timeout_s: Seconds within which it must be received.
        budget: Counts the body until it is complete; None if it doesn't count.

    Raises:
        MangowayError: BODY_TOO_LARGE, MALFORMED_REQUEST if the body is not received
            within `timeout_s`, OVERLOADED if bodies of other callers leave no room, or
            CANCELLED if the caller closed the connection.
    """
    budget = InputBudget() if budget is None else budget
    length = request.get_first_header(b"content-length")
    if length is not None and length.isdigit() and int(length) > max_bytes:
        raise _make_too_large_error(max_bytes)
    body = bytearray()
    counted = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for part in request.stream():  # type: ignore[attr-defined]
                if not budget.try_add(len(part or b"")):
                    raise MangowayError(
                        ErrorCode.OVERLOADED, "this host reads too many other bodies"
                    )
                counted += len(part or b"")
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
    finally:
        budget.release(counted)
    return bytes(body)


def _make_too_large_error(max_bytes: int) -> MangowayError:
    return MangowayError(
        ErrorCode.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
    )

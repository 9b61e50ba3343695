"""Tests of the limits on reading request bodies."""

import asyncio

import pytest
from blacksheep.contents import ASGIContent
from blacksheep.messages import Request

from mangoway.callers.body import async_read_body
from mangoway.callers.input_budget import InputBudget
from mangoway.models.errors import ErrorCode, MangowayError


def make_request(*messages: dict[str, object] | None) -> Request:
    """Return a request that receives messages; None blocks forever."""
    pending = iter(messages)

    async def receive() -> dict[str, object]:
        message = next(pending)
        if message is None:
            await asyncio.Event().wait()
        assert message is not None
        return message

    request = Request("POST", b"/", None)
    return request.with_content(ASGIContent(receive))


def make_part(body: bytes, more: bool = True) -> dict[str, object]:
    return {"type": "http.request", "body": body, "more_body": more}


async def async_expect_error(request: Request, timeout_s: float = 5.0) -> MangowayError:
    with pytest.raises(MangowayError) as caught:
        await async_read_body(request, 4, timeout_s)
    return caught.value


class TestReadBody:
    """Tests of complete, slow, oversized and aborted bodies."""

    async def test_parts_are_joined(self) -> None:
        request = make_request(make_part(b"ab"), make_part(b"cd", more=False))
        assert await async_read_body(request, 4, 5.0) == b"abcd"

    async def test_too_large(self) -> None:
        error = await async_expect_error(
            make_request(make_part(b"abc"), make_part(b"de"))
        )
        assert error.code is ErrorCode.BODY_TOO_LARGE

    async def test_too_slow(self) -> None:
        error = await async_expect_error(
            make_request(make_part(b"a"), None), timeout_s=0.05
        )
        assert error.code is ErrorCode.MALFORMED_REQUEST

    async def test_disconnect(self) -> None:
        error = await async_expect_error(
            make_request(make_part(b"a"), {"type": "http.disconnect"})
        )
        assert error.code is ErrorCode.CANCELLED


class TestBudget:
    """Bodies of many callers at once."""

    async def test_body_without_room_is_rejected(self) -> None:
        """Bodies that never ended filled the memory of a gateway."""
        budget = InputBudget(max_bytes=10)
        blocked = asyncio.create_task(
            async_read_body(make_request(make_part(b"x" * 8), None), 20, 5.0, budget)
        )
        await asyncio.sleep(0)
        with pytest.raises(MangowayError) as caught:
            await async_read_body(make_request(make_part(b"abc")), 20, 5.0, budget)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert budget.used_bytes == 8
        small = make_request(make_part(b"ab", more=False))
        assert await async_read_body(small, 20, 5.0, budget) == b"ab"
        blocked.cancel()
        await asyncio.gather(blocked, return_exceptions=True)
        assert budget.used_bytes == 0

"""Tests of short HTTP exchanges: verdicts and limits."""

import asyncio

import pytest

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.verdict import Verdict
from mangoway.upstreams.exchange import ExchangeRequest, async_exchange

from ..fakes.addresses import UNUSABLE_ADDRESSES
from .raw_server import RawServer, Script, answer, cut, make_response


async def async_send(
    address: str, timeout_s: float = 5.0, send_before: float = float("inf")
) -> bytes:
    request = ExchangeRequest(
        method="POST",
        address=address,
        path="/v1/orders",
        body=b'{"a":1}',
        headers={"Content-Type": "application/json"},
        timeout_s=timeout_s,
        send_before=send_before,
    )
    return await async_exchange(request)


async def async_expect_error(script: Script, timeout_s: float = 5.0) -> MangowayError:
    """Return the error of an exchange with a scripted server."""
    async with RawServer(script) as server:
        with pytest.raises(MangowayError) as raised:
            await async_send(server.address, timeout_s)
        return raised.value


class TestExchange:
    """Sent requests, and verdicts of failures."""

    async def test_request_and_body_are_received(self) -> None:
        async with RawServer(answer(make_response(200, b"whole"))) as server:
            assert await async_send(server.address) == b"whole"
            assert b"POST /v1/orders HTTP/1.1" in server.requests[0]
            assert server.requests[0].endswith(b'{"a":1}')

    async def test_each_exchange_has_its_own_connection(self) -> None:
        async with RawServer(answer(make_response(200))) as server:
            await async_send(server.address)
            await async_send(server.address)
            assert server.connections == 2

    async def test_refused_connection_is_not_run(self) -> None:
        async with RawServer(answer()) as server:
            address = server.address
        with pytest.raises(MangowayError) as raised:
            await async_send(address)
        assert raised.value.failure.verdict is Verdict.NOT_RUN

    async def test_silence_may_have_run(self) -> None:
        error = await async_expect_error(answer(), timeout_s=0.2)
        assert error.code is ErrorCode.UPSTREAM_SILENT
        assert error.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_truncated_response_may_have_run(self) -> None:
        error = await async_expect_error(
            cut(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        )
        assert error.code is ErrorCode.UPSTREAM_FAILED
        assert error.failure.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize(
        ("headers", "verdict"),
        [("X-Verdict: not_run\r\n", Verdict.NOT_RUN), ("", Verdict.MAY_HAVE_RUN)],
    )
    async def test_verdict_of_a_rejection_follows_its_header(
        self, headers: str, verdict: Verdict
    ) -> None:
        error = await async_expect_error(answer(make_response(503, b"", headers)))
        assert error.code is ErrorCode.UPSTREAM_BUSY
        assert error.failure.verdict is verdict

    async def test_response_over_the_limit_is_rejected(self) -> None:
        async with RawServer(answer(make_response(200, b"four"))) as server:
            request = ExchangeRequest(
                method="GET",
                address=server.address,
                path="/",
                timeout_s=5.0,
                limit_bytes=3,
            )
            with pytest.raises(MangowayError) as raised:
                await async_exchange(request)
        assert raised.value.code is ErrorCode.UPSTREAM_FAILED

    async def test_late_request_is_not_sent(self) -> None:
        async with RawServer(answer(make_response(200))) as server:
            now = asyncio.get_running_loop().time()
            with pytest.raises(MangowayError) as raised:
                await async_send(server.address, send_before=now - 0.001)
            assert raised.value.failure.verdict is Verdict.NOT_RUN
            assert server.requests == []


class TestUnusableAddress:
    """Addresses at which nothing can listen, for example from an odd host list."""

    async def test_exchange_has_not_run(self) -> None:
        """An error of another type ended the task that made the exchange."""
        for address in UNUSABLE_ADDRESSES:
            with pytest.raises(MangowayError) as raised:
                await async_send(address)
            assert raised.value.code is ErrorCode.UPSTREAM_FAILED
            assert raised.value.failure.verdict is Verdict.NOT_RUN

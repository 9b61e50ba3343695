"""Tests of the HTTP session to upstreams."""

import asyncio
import socket

import pytest

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.verdict import Verdict
from mangoway.upstreams.session import UpstreamCall, UpstreamSession

from ..fakes.addresses import UNUSABLE_ADDRESSES
from .raw_server import RawServer, answer, cut, make_response

OK = make_response(200, b"{}")


def make_call(address: str, silence_s: float = 5.0, **more: object) -> UpstreamCall:
    fields = {"method": "POST", "path": "/x", "body": b"{}", "timeout_s": 30.0}
    return UpstreamCall(address=address, silence_s=silence_s, **(fields | more))


async def async_expect_error(server_address: str, **more: object) -> MangowayError:
    async with UpstreamSession(connect_timeout_s=0.2) as session:
        with pytest.raises(MangowayError) as caught:
            await session.async_fetch(make_call(server_address, **more))
    return caught.value


class TestVerdict:
    """Verdict of each failure."""

    async def test_refused_connection_did_not_run(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            error = await async_expect_error(f"127.0.0.1:{unused.getsockname()[1]}")
        assert error.code is ErrorCode.UPSTREAM_FAILED
        assert error.failure.verdict is Verdict.NOT_RUN

    async def test_unusable_address_did_not_run(self) -> None:
        """An error of another type ended the task that made the attempt."""
        for address in UNUSABLE_ADDRESSES:
            error = await async_expect_error(address)
            assert error.code is ErrorCode.UPSTREAM_FAILED
            assert error.failure.verdict is Verdict.NOT_RUN

    async def test_connect_that_hangs_did_not_run(self) -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = full.getsockname()
            # Fill the accept backlog, so that the next connection attempt hangs.
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            error = await async_expect_error(f"127.0.0.1:{address[1]}")
            for filler in fillers:
                filler.close()
        assert error.code is ErrorCode.UPSTREAM_SILENT
        assert error.failure.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize(
        ("headers", "verdict"),
        [
            ("X-Verdict: not_run\r\n", Verdict.NOT_RUN),
            ("X-Verdict: something\r\n", Verdict.MAY_HAVE_RUN),
            ("", Verdict.MAY_HAVE_RUN),
        ],
    )
    async def test_rejection_is_not_run_only_with_that_verdict(
        self, headers: str, verdict: Verdict
    ) -> None:
        busy = make_response(503, headers=headers + "Retry-After: 1.5\r\n")
        async with RawServer(answer(busy)) as server:
            error = await async_expect_error(server.address)
        assert error.code is ErrorCode.UPSTREAM_BUSY
        assert error.failure.verdict is verdict
        assert error.failure.retry_after == 1.5

    async def test_connection_closed_after_the_request_may_have_run(self) -> None:
        async with RawServer(cut()) as server:
            error = await async_expect_error(server.address)
        assert error.code is ErrorCode.UPSTREAM_FAILED
        assert error.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_truncated_body_may_have_run(self) -> None:
        async with RawServer(cut(OK[:-1])) as server:
            error = await async_expect_error(server.address)
        assert error.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_deadline_may_have_run(self) -> None:
        async with RawServer(answer()) as server:
            error = await async_expect_error(server.address, timeout_s=0.05)
        assert error.code is ErrorCode.DEADLINE_EXCEEDED
        assert error.failure.verdict is Verdict.MAY_HAVE_RUN


class TestConnections:
    """Use of pooled and new connections."""

    async def test_silent_connection_is_dropped_and_the_next_call_opens_a_new_one(
        self,
    ) -> None:
        async with (
            RawServer(answer(OK), answer(), answer(OK)) as server,
            UpstreamSession() as session,
        ):
            call = make_call(server.address, silence_s=0.1)
            await session.async_fetch(call)
            with pytest.raises(MangowayError) as caught:
                await session.async_fetch(call)
            assert caught.value.code is ErrorCode.UPSTREAM_SILENT
            assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN
            await asyncio.wait_for(server.lost.wait(), 5)
            assert server.connections == 1
            await session.async_fetch(call)
            assert server.connections == 2

    async def test_silence_fails_one_call_not_one_for_each_idle_connection(
        self,
    ) -> None:
        async with RawServer(answer(OK)) as server, UpstreamSession() as session:
            call = make_call(server.address, silence_s=0.1)
            await asyncio.gather(*(session.async_fetch(call) for _ in range(3)))
            assert server.connections == 3
            server.silence()
            with pytest.raises(MangowayError):
                await session.async_fetch(call)
            for _ in range(3):
                await session.async_fetch(call)
            assert server.connections == 6

    async def test_missing_headers_are_detected_on_pooled_connections_only(
        self,
    ) -> None:
        async def slow(request: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.2)
            writer.write(OK)

        async with (
            RawServer(answer(OK), answer(), slow) as server,
            UpstreamSession(head_timeout_s=0.1) as session,
        ):
            call = make_call(server.address, silence_s=20.0, streamed=True)
            await session.async_fetch(call)
            async with asyncio.timeout(5):
                with pytest.raises(MangowayError) as caught:
                    await session.async_fetch(call)
            assert caught.value.code is ErrorCode.UPSTREAM_SILENT
            await session.async_fetch(call)

    async def test_post_on_a_stale_pooled_connection_is_not_retried(self) -> None:
        async with (
            RawServer(answer(OK), cut(), answer(OK)) as server,
            UpstreamSession() as session,
        ):
            await session.async_fetch(make_call(server.address))
            with pytest.raises(MangowayError) as caught:
                await session.async_fetch(make_call(server.address))
            assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN
            assert len(server.requests) == 2

    async def test_pooled_connection_is_reused(self) -> None:
        async with RawServer(answer(OK)) as server, UpstreamSession() as session:
            await session.async_fetch(make_call(server.address))
            await session.async_fetch(make_call(server.address))
            assert server.connections == 1

    async def test_fresh_call_opens_its_own_connection(self) -> None:
        async with RawServer(answer(OK)) as server, UpstreamSession() as session:
            await session.async_fetch(make_call(server.address))
            await session.async_fetch(make_call(server.address, fresh=True))
            assert server.connections == 2

    async def test_exception_inside_the_block_closes_the_connection(self) -> None:
        async with (
            RawServer(answer(OK[:-1]), answer(OK)) as server,
            UpstreamSession() as session,
        ):
            with pytest.raises(RuntimeError):
                async with session.async_open(make_call(server.address)):
                    raise RuntimeError
            await session.async_fetch(make_call(server.address))
            assert server.connections == 2

"""Tests of servers that close their connections within a head, for each client."""

import pytest

from mangoway.http1.json_client import CallFailedError, JsonClient
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.verdict import Verdict
from mangoway.upstreams.session import UpstreamCall, UpstreamSession

from .cut_heads import CUTS, cut_head
from .raw_server import RawServer, answer, make_response
from .test_exchange import async_expect_error

OK = make_response(200, b"{}")


def make_call(address: str, *, streamed: bool) -> UpstreamCall:
    return UpstreamCall(
        method="POST",
        address=address,
        path="/x",
        body=b"{}",
        timeout_s=5.0,
        silence_s=5.0,
        streamed=streamed,
    )


@pytest.mark.parametrize(("part", "reset"), CUTS)
class TestCutHead:
    """The failure: a cut head passed for a response with an empty body."""

    async def test_exchange_fails(self, part: bytes, *, reset: bool) -> None:
        error = await async_expect_error(cut_head(part, reset=reset))
        assert error.code is ErrorCode.UPSTREAM_FAILED
        assert error.failure.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize("is_kept", [True, False])
    @pytest.mark.parametrize("streamed", [True, False])
    async def test_session_fails(
        self, part: bytes, *, reset: bool, streamed: bool, is_kept: bool
    ) -> None:
        scripts = [answer(OK)] * is_kept + [cut_head(part, reset=reset)]
        async with RawServer(*scripts) as server, UpstreamSession() as session:
            call = make_call(server.address, streamed=streamed)
            if is_kept:
                await session.async_fetch(call)
            with pytest.raises(MangowayError) as caught:
                await session.async_fetch(call)
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize("is_kept", [True, False])
    async def test_json_client_fails(
        self, part: bytes, *, reset: bool, is_kept: bool
    ) -> None:
        scripts = [answer(OK)] * is_kept + [cut_head(part, reset=reset)]
        async with RawServer(*scripts) as server:
            client = JsonClient(expects_extras=False)
            for _ in range(is_kept):
                await client.async_call(server.address, "GET", "/x", timeout_s=5.0)
            with pytest.raises(CallFailedError):
                await client.async_call(server.address, "GET", "/x", timeout_s=5.0)
            client.pool.close()

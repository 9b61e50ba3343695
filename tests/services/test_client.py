"""Tests of the plain service client."""

import pytest

from mangoway.models.errors import MangowayError
from mangoway.models.identifiers import AttemptId, CallName
from mangoway.models.verdict import Verdict
from mangoway.services.client import ServiceClient
from mangoway.services.messages import ServiceAttempt, ServiceResponse
from mangoway.upstreams.session import UpstreamSession

from ..upstreams.raw_server import RawServer, Script, answer, cut, make_response


def make_attempt(idempotent: bool = False) -> ServiceAttempt:
    return ServiceAttempt(
        id=AttemptId("a-1"),
        call=CallName("status"),
        body=b'{"n": 1}',
        idempotent=idempotent,
        timeout_s=30.0,
        silence_s=5.0,
    )


async def call(script: Script) -> ServiceResponse:
    async with RawServer(script) as server, UpstreamSession() as session:
        client = ServiceClient(session)
        return await client.async_call(server.address, make_attempt())


class TestServiceClient:
    """Calls to a plain service."""

    @pytest.mark.parametrize("status", [200, 404, 422, 500])
    async def test_status_and_body_pass_through(self, status: int) -> None:
        response = make_response(status, b"[1]", "Content-Type: text/x\r\n")
        result = await call(answer(response))
        assert result == ServiceResponse(
            status=status, content_type="text/x", body=b"[1]"
        )

    @pytest.mark.parametrize("status", ["000", "099", "101", "600", "999"])
    async def test_invalid_status_is_no_response(self, status: str) -> None:
        """A caller would get it as the response of the service."""
        response = f"HTTP/1.1 {status} X\r\nContent-Length: 3\r\n\r\n[1]".encode()
        with pytest.raises(MangowayError) as raised:
            await call(cut(response))
        assert raised.value.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_cut_body_without_a_length_is_not_whole(self) -> None:
        with pytest.raises(MangowayError) as raised:
            await call(cut(b"HTTP/1.1 200 OK\r\n\r\n[1, 2"))
        assert raised.value.failure.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize(
        "response",
        [
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ],
        ids=["no_content", "chunks", "length"],
    )
    async def test_empty_body_with_a_certain_end_is_whole(
        self, response: bytes
    ) -> None:
        assert (await call(cut(response))).body == b""

    async def test_request_contains_the_call_and_the_attempt(self) -> None:
        async with (
            RawServer(answer(make_response(200))) as server,
            UpstreamSession() as session,
        ):
            await ServiceClient(session).async_call(server.address, make_attempt())
            assert server.requests[0].startswith(b"POST /status HTTP/1.1\r\n")
            assert b"\r\nX-Request-Id: a-1\r\n" in server.requests[0]
            assert server.requests[0].endswith(b'{"n": 1}')

    @pytest.mark.parametrize(
        ("status", "headers", "verdict"),
        [
            (409, "X-Verdict: not_run\r\n", Verdict.NOT_RUN),
            (503, "", Verdict.MAY_HAVE_RUN),
        ],
    )
    async def test_rejection_raises_an_error(
        self, status: int, headers: str, verdict: Verdict
    ) -> None:
        with pytest.raises(MangowayError) as caught:
            await call(answer(make_response(status, headers=headers)))
        assert caught.value.failure.verdict is verdict

    async def test_response_to_another_attempt_is_rejected(self) -> None:
        with pytest.raises(MangowayError) as caught:
            await call(answer(make_response(200, headers="X-Request-Id: a-0\r\n")))
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_closed_connection_may_have_run_and_is_not_retried(self) -> None:
        async with RawServer(cut()) as server, UpstreamSession() as session:
            with pytest.raises(MangowayError) as caught:
                await ServiceClient(session).async_call(server.address, make_attempt())
            assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN
            assert len(server.requests) == 1

    @pytest.mark.parametrize(("idempotent", "connections"), [(True, 1), (False, 2)])
    async def test_only_idempotent_calls_share_connections(
        self, idempotent: bool, connections: int
    ) -> None:
        async with (
            RawServer(answer(make_response(200))) as server,
            UpstreamSession() as session,
        ):
            client = ServiceClient(session)
            for _ in range(2):
                await client.async_call(server.address, make_attempt(idempotent))
            assert server.connections == connections

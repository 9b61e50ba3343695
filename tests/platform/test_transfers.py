"""Tests of the calls that copy the memory of a running request."""

import json

import pytest

from mangoway.http1.messages import Request
from mangoway.models.transfers import MoveAnswer, MoveResult
from mangoway.platform.requests import encode_for_runner
from mangoway.platform.transfers import RunnerTransfers, encode_copy

from ..upstreams.raw_server import (
    RawServer,
    answer,
    cut,
    make_response,
    repeat_before,
)

TARGET = "10.0.0.2:80"
NO_ANSWER = MoveResult(answer=MoveAnswer.NO_ANSWER)


async def move(server: RawServer, *, last: bool = True) -> MoveResult:
    return await RunnerTransfers().async_move(server.address, "q1", TARGET, last=last)


class TestMove:
    """Calls that copy the memory of a run."""

    @pytest.mark.parametrize("last", [False, True])
    async def test_call_names_the_run_and_the_target(self, last: bool) -> None:
        body = b'{"handle": "h1", "created": 7}'
        async with RawServer(answer(make_response(200, body))) as server:
            result = await move(server, last=last)
        assert result == MoveResult(answer=MoveAnswer.MOVED, handle="h1", created=7)
        head, _, sent = server.requests[0].partition(b"\r\n\r\n")
        assert head.startswith(b"POST /v1/kv-move HTTP/1.1\r\n")
        assert json.loads(sent) == {"id": "q1", "to": TARGET, "last": last}

    @pytest.mark.parametrize(
        ("status", "body", "expected"),
        [
            (404, b"", MoveResult(answer=MoveAnswer.NO_RUN)),
            (409, b"{}", MoveResult(answer=MoveAnswer.BUSY)),
            (503, b"", MoveResult(answer=MoveAnswer.NO_ROOM)),
            (
                503,
                b'{"handle": "h2"}',
                MoveResult(answer=MoveAnswer.NO_ROOM, handle="h2"),
            ),
            (500, b"", NO_ANSWER),
            (200, b"{}", NO_ANSWER),
            (200, b"[]", NO_ANSWER),
            (200, b"{", NO_ANSWER),
        ],
    )
    async def test_other_answers(
        self, status: int, body: bytes, expected: MoveResult
    ) -> None:
        async with RawServer(answer(make_response(status, body))) as server:
            assert await move(server) == expected

    async def test_broken_connection_and_silence_are_no_answer(self) -> None:
        async with RawServer(cut(b""), answer()) as server:
            assert await move(server) == NO_ANSWER
            assert await move(server) == NO_ANSWER

    async def test_stop_after_a_copy_takes_no_extra_response(self) -> None:
        """The copy's response, sent again, passed for that of the stop."""
        copied = make_response(200, b'{"handle": "h1", "created": 4}')
        gone = make_response(404)
        async with RawServer(repeat_before(copied, gone)) as server:
            transfers = RunnerTransfers()
            results = [
                await transfers.async_move(server.address, "q1", TARGET, last=last)
                for last in (False, True)
            ]
        assert [each.answer for each in results] == [
            MoveAnswer.MOVED,
            MoveAnswer.NO_RUN,
        ]


class TestFree:
    """Calls that free a copy."""

    async def test_handle_is_in_the_path(self) -> None:
        async with RawServer(answer(make_response(200))) as server:
            await RunnerTransfers().async_free(server.address, "h1")
        assert server.requests[0].startswith(b"DELETE /v1/kv-handle/h1 HTTP/1.1\r\n")

    async def test_failure_is_ignored(self) -> None:
        """The copy expires by itself."""
        async with RawServer(cut(b"")) as server:
            await RunnerTransfers().async_free(server.address, "h1")


class TestHeaders:
    """Header fields of requests that continue or are backed up."""

    def encode(self, **fields: str) -> Request:
        own = ((b"Kv-From", b"forged"), (b"X-Kv-Backup", b"forged"))
        return encode_for_runner(
            Request(method=b"POST", target=b"/x", headers=own, body=b""),
            runner_id="i-1",
            time_left_s=1.0,
            priority=None,
            last_event_id=None,
            **fields,  # type: ignore[arg-type]
        )

    def test_copy_and_backup_are_named(self) -> None:
        sent = self.encode(copy=encode_copy("10.0.0.1:80", "h1"), backup_address=TARGET)
        assert (b"Kv-From", b"10.0.0.1:80/h1") in sent.headers
        assert (b"X-Kv-Backup", TARGET.encode()) in sent.headers
        assert b"forged" not in dict(sent.headers).values()

    def test_both_are_omitted_otherwise(self) -> None:
        names = {name for name, _ in self.encode().headers}
        assert names.isdisjoint({b"Kv-From", b"X-Kv-Backup"})

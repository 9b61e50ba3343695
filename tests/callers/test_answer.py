"""Tests of answers that are filled over time."""

import asyncio

from mangoway.callers.answer import Answer, AnswerReader
from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.verdict import Verdict

FAILURE = Failure(code=ErrorCode.INTERNAL, verdict=Verdict.MAY_HAVE_RUN, detail="x")


async def read_all(reader: AnswerReader) -> str:
    pieces: list[str] = []
    while read := await reader.async_read():
        pieces.extend(read)
    return "".join(pieces)


class TestAnswerReader:
    """Tests of what each reader of an answer receives."""

    async def test_every_reader_gets_the_whole_answer(self) -> None:
        answer = Answer()
        early = asyncio.ensure_future(read_all(AnswerReader(answer)))
        answer.append("a", 1, None)
        await asyncio.sleep(0)
        answer.append("b", 2, "stop")
        answer.finish()
        late = AnswerReader(answer)
        assert await early == await read_all(late) == "ab"

    async def test_follower_reads_its_leader_from_the_start(self) -> None:
        leader, follower = Answer(), Answer()
        reading = asyncio.ensure_future(read_all(AnswerReader(follower)))
        await asyncio.sleep(0)
        leader.append("a", 1, None)
        follower.follow(leader)
        leader.append("b", 2, None)
        leader.finish()
        assert await reading == "ab"

    async def test_follower_can_fail_by_itself(self) -> None:
        leader, follower = Answer(), Answer()
        reader = AnswerReader(follower)
        follower.follow(leader)
        follower.fail(FAILURE)
        await reader.async_wait_end()
        assert reader.answer.failure == FAILURE
        assert not leader.ended

    async def test_closed_reader_ends(self) -> None:
        answer = Answer()
        reader = AnswerReader(answer)
        reading = asyncio.ensure_future(read_all(reader))
        await asyncio.sleep(0)
        reader.close()
        assert await reading == ""
        assert not answer.has_readers

"""Tests of streams whose event ids are odd, and that go on at another runner."""

import asyncio

import pytest

from ..fakes.version_records import record_current_versions
from ..upstreams.raw_server import RawServer, answer, cut
from .world import EdgeWorld, Reply, make_event, make_stream, start_edge


def make_event_with(event_id: str, text: str) -> bytes:
    """Return an event; without an id if that is empty."""
    named = f"id: {event_id}\n" if event_id else ""
    return f"{named}data: {text}\n\n".encode()


def list_events(*pairs: tuple[str, str]) -> list[bytes]:
    """Return the events with these ids and texts."""
    return [make_event_with(*pair) for pair in pairs]


A, B, C, D = list_events(("a", "1"), ("b", "2"), ("c", "3"), ("d", "4"))


async def async_call_broken(
    first: list[bytes],
    second: list[bytes],
    path: str = "/stream/x",
    headers: str = "",
) -> tuple[Reply, RawServer, EdgeWorld]:
    """Call an edge whose first runner breaks off, and whose second sends the rest."""
    async with (
        RawServer(cut(*make_stream(*first, end=False))) as bad,
        RawServer(answer(*make_stream(*second))) as other,
        start_edge() as edge,
    ):
        edge.add("r1", bad, "llm")
        edge.add("r2", other, "llm")
        reply = await edge.async_call(path, headers=headers)
        return reply, other, edge


class TestTexts:
    """Ids that are not numbers."""

    async def test_stream_goes_on(self) -> None:
        reply, other, _ = await async_call_broken([A, B], [C, D])
        assert (reply.body, reply.complete) == (A + B + C + D, True)
        assert b"Last-Event-Id: b\r\n" in other.requests[0]

    async def test_events_sent_again_are_dropped(self) -> None:
        reply, *_ = await async_call_broken([A, B], [A, B, C, D])
        assert (reply.body, reply.complete) == (A + B + C + D, True)

    async def test_stream_with_one_id_for_all_events_is_broken_off(self) -> None:
        """Nobody can say where it goes on."""
        first = list_events(("a", "1"), ("a", "2"))
        second = list_events(("a", "3"), ("a", "4"))
        reply, other, _ = await async_call_broken(first, second)
        assert (reply.body, reply.complete) == (b"".join(first), False)
        assert other.requests == []

    async def test_whole_stream_with_one_id_for_all_events_is_served(self) -> None:
        events = list_events(("a", "1"), ("a", "2"))
        async with (
            RawServer(answer(*make_stream(*events))) as runner,
            start_edge() as edge,
        ):
            edge.add("r1", runner, "llm")
            reply = await edge.async_call("/stream/x")
        assert (reply.body, reply.complete) == (b"".join(events), True)


class TestMissingIds:
    """Events without an id."""

    async def test_stream_without_ids_is_not_begun_again(self) -> None:
        """The caller got the beginning twice, or parts of two runs."""
        first = list_events(("", "1"), ("", "2"))
        second = list_events(("", "1"), ("", "2"), ("", "3"))
        reply, other, _ = await async_call_broken(first, second)
        assert (reply.body, reply.complete) == (b"".join(first), False)
        assert other.requests == []

    async def test_silent_stream_without_ids_stays_at_its_runner(self) -> None:
        first, second = list_events(("", "1"), ("", "2"))
        head, *chunks = make_stream(first, second)

        async def pause(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.writelines([head, chunks[0]])
            await asyncio.sleep(1.3)
            writer.writelines(chunks[1:])

        async with (
            RawServer(pause) as runner,
            RawServer(answer(*make_stream(first, second))) as other,
            start_edge() as edge,
        ):
            edge.add("r1", runner, "llm")
            edge.add("r2", other, "llm")
            reply = await edge.async_call("/stream/x")
            assert (reply.body, reply.complete) == (first + second, True)
            assert other.requests == []

    async def test_event_without_id_after_the_last_id_is_not_passed_on_twice(
        self,
    ) -> None:
        unnamed = make_event_with("", "x")
        first = [make_event(1), unnamed]
        reply, *_ = await async_call_broken(first, [unnamed, make_event(2)])
        assert (reply.body, reply.complete) == (b"".join(first) + make_event(2), True)

    async def test_other_event_without_id_in_its_place_breaks_the_stream(self) -> None:
        first = [make_event(1), make_event_with("", "x")]
        second = [make_event_with("", "y"), make_event(2)]
        reply, *_ = await async_call_broken(first, second)
        assert (reply.body, reply.complete) == (b"".join(first), False)

    async def test_stream_that_breaks_after_an_event_with_id_goes_on(self) -> None:
        unnamed = make_event_with("", "x")
        first = [make_event(1), unnamed, make_event(2)]
        second = [unnamed, make_event(3)]
        reply, *_ = await async_call_broken(first, second)
        assert reply.body == b"".join(first + second)
        assert reply.complete

    async def test_unnamed_events_sent_again_are_dropped(self) -> None:
        """A runner that ignores `Last-Event-Id` repeats them with the others."""
        unnamed = make_event_with("", "x")
        first = [make_event(1), unnamed, make_event(2)]
        second = [*first, unnamed, make_event(3)]
        reply, *_ = await async_call_broken(first, second)
        assert reply.body == b"".join(second)


class TestNumbers:
    """Ids that are numbers, in an odd order."""

    async def test_ids_that_start_again_at_the_next_runner_end_no_stream(self) -> None:
        """Events with known ids and other content are not those that the caller has."""
        first = [make_event(1), make_event(2)]
        second = list_events(("1", "piece 3"), ("2", "piece 4"))
        reply, *_ = await async_call_broken(first, second)
        assert (reply.body, reply.complete) == (b"".join(first), False)

    async def test_run_from_the_start_is_not_joined_to_another(self) -> None:
        first = [make_event(1), make_event(2)]
        second = list_events(("1", "own 1"), ("2", "own 2"), ("3", "own 3"))
        reply, *_ = await async_call_broken(first, second)
        assert (reply.body, reply.complete) == (b"".join(first), False)

    async def test_events_sent_again_are_dropped(self) -> None:
        events = [make_event(number) for number in range(1, 5)]
        reply, *_ = await async_call_broken(events[:2], events)
        assert (reply.body, reply.complete) == (b"".join(events), True)

    @pytest.mark.parametrize("last", [2, 9])
    async def test_stream_that_has_nothing_left_is_complete(self, last: int) -> None:
        events = [make_event(number) for number in range(1, last + 1)]
        reply, *_ = await async_call_broken(events, [])
        assert (reply.body, reply.complete) == (b"".join(events), True)

    async def test_event_that_follows_a_gap_is_not_passed_on(self) -> None:
        reply, *_ = await async_call_broken(
            [make_event(1)], [make_event(2), make_event(4)]
        )
        assert (reply.body, reply.complete) == (make_event(1) + make_event(2), False)

    async def test_id_after_a_gap_within_one_response_is_not_passed_on(self) -> None:
        reply, *_ = await async_call_broken([make_event(1), make_event(3)], [])
        assert b"piece 3" not in reply.body

    @pytest.mark.parametrize(
        "number", ["007", "+7", "7.0", "-1", "99999999999999999999"]
    )
    async def test_ids_that_look_like_numbers_lose_no_event(self, number: str) -> None:
        first = list_events((number, "1"))
        second = list_events(("8", "2"))
        reply, *_ = await async_call_broken(first, second)
        assert (reply.body, reply.complete) == (b"".join(first + second), True)


class TestCaller:
    """Streams that a caller resumes."""

    async def test_events_that_the_caller_has_are_dropped(self) -> None:
        events = [make_event(number) for number in range(1, 5)]
        reply = await async_resume(events, "2")
        assert (reply.body, reply.complete) == (b"".join(events[2:]), True)

    async def test_gap_to_what_the_caller_has_is_not_passed_on(self) -> None:
        reply = await async_resume([make_event(5)], "2")
        assert reply.status == 502

    async def test_caller_that_has_all_events_gets_a_complete_stream(self) -> None:
        reply = await async_resume([], "4")
        assert (reply.status, reply.body, reply.complete) == (200, b"", True)


async def async_resume(events: list[bytes], last_event_id: str) -> Reply:
    """Resume a stream as a caller at a runner that sends these events."""
    async with (
        RawServer(answer(*make_stream(*events))) as runner,
        start_edge() as edge,
    ):
        edge.add("r1", runner, "llm")
        record_current_versions(edge.view)
        return await edge.async_call(
            "/stream/x", headers=f"Last-Event-Id: {last_event_id}\r\n"
        )

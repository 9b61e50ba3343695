"""Tests that a parser gives h11 no more than it needs."""

import h11

from mangoway.http1.request_parser import PART_BYTES, RequestParser

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


class TestRequestParser:
    """Requests that arrive in one piece, or many at once."""

    def test_bytes_beyond_the_request_are_not_given_to_h11(self) -> None:
        parser = RequestParser(16_384)
        one = HEAD % 0
        parser.receive(one * 10_000)
        assert isinstance(parser.read_event(), h11.Request)
        assert isinstance(parser.read_event(), h11.EndOfMessage)
        assert parser.read_event() is h11.PAUSED
        assert parser.unparsed_bytes == 10_000 * len(one) - PART_BYTES

    def test_body_is_read_in_parts(self) -> None:
        parser = RequestParser(16_384)
        body = bytes(range(256)) * 1000
        parser.receive(HEAD % len(body) + body)
        events = []
        while not events or not isinstance(events[-1], h11.EndOfMessage):
            events.append(parser.read_event())
        parts = [bytes(each.data) for each in events if isinstance(each, h11.Data)]
        assert b"".join(parts) == body
        assert max(len(each) for each in parts) <= PART_BYTES
        assert parser.unparsed_bytes == 0

    def test_incomplete_request_needs_data(self) -> None:
        parser = RequestParser(16_384)
        parser.receive((HEAD % 5)[:-4])
        assert parser.read_event() is h11.NEED_DATA
        parser.receive(b"\r\n\r\nab")
        assert isinstance(parser.read_event(), h11.Request)
        assert isinstance(parser.read_event(), h11.Data)
        assert parser.read_event() is h11.NEED_DATA

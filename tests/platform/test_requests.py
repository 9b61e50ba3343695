"""Tests of the platform's header fields of requests."""

import pytest

from mangoway.http1.messages import Request
from mangoway.platform.requests import (
    decode_request,
    encode_for_runner,
    read_key,
)


def make_request(*headers: tuple[bytes, bytes], body: bytes = b"") -> Request:
    return Request(
        method=b"POST",
        target=b"/chat/2f",
        headers=((b"Host", b"example.test"), *headers),
        body=body,
    )


class TestDecoding:
    """Decoding of a caller's header fields."""

    def test_fields_are_decoded(self) -> None:
        fields = decode_request(
            make_request(
                (b"X-Request-Id", b"q1"),
                (b"X-Model", b"m0/a3"),
                (b"X-Deadline-Ms", b"1500"),
                (b"X-Token-Usage", b"1460,80"),
                (b"X-Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
                (b"X-Length-Hint", b"40"),
            )
        )
        assert (fields.request_id, fields.model, fields.adapter) == ("q1", "m0", "a3")
        assert fields.artifact == "m0/a3"
        assert fields.time_left_s == 1.5
        assert fields.prompt.tokens == 1460
        assert fields.prompt.max_output_tokens == 80
        assert fields.prompt.expected_output_tokens == 40
        assert [each.tokens for each in fields.prompt.parts] == [800, 410, 250]

    @pytest.mark.parametrize("value", [b"", b"soon", b"1,2,3"])
    def test_malformed_numbers_count_as_missing(self, value: bytes) -> None:
        fields = decode_request(
            make_request((b"X-Deadline-Ms", value), (b"X-Token-Usage", b"x,y"))
        )
        assert fields.time_left_s is None
        assert fields.prompt.tokens == 0


class TestEncoding:
    """Encoding of a request for a runner."""

    def encode(self, request: Request, last_event_id: str | None = None) -> Request:
        return encode_for_runner(
            request,
            runner_id="i-1",
            time_left_s=1.25,
            priority=0,
            last_event_id=last_event_id,
        )

    def test_request_line_body_and_other_fields_are_unchanged(self) -> None:
        request = make_request((b"X-Own", b"1"), (b"X-Model", b"m0"), body=b"abc")
        sent = self.encode(request)
        assert (sent.method, sent.target, sent.body) == (b"POST", b"/chat/2f", b"abc")
        assert (b"X-Own", b"1") in sent.headers
        assert (b"X-Model", b"m0") in sent.headers

    def test_remaining_time_runner_and_priority_are_set(self) -> None:
        sent = self.encode(make_request((b"X-Deadline-Ms", b"9000")))
        assert [v for k, v in sent.headers if k.lower() == b"x-deadline-ms"] == [
            b"1250"
        ]
        assert sent.find(b"x-expect-instance") == "i-1"
        assert sent.find(b"x-request-priority") == "0"

    @pytest.mark.parametrize(
        "name",
        [b"X-Hold", b"X-Pin-Ms", b"X-Kv-Backup", b"Kv-From", b"X-Expect-Instance"],
    )
    def test_reserved_fields_of_callers_are_removed(self, name: bytes) -> None:
        sent = self.encode(make_request((name, b"forged")))
        assert b"forged" not in [value for _, value in sent.headers]

    def test_hop_by_hop_fields_are_removed(self) -> None:
        sent = self.encode(
            make_request((b"Connection", b"X-Hop, keep-alive"), (b"X-Hop", b"1"))
        )
        names = {name.lower() for name, _ in sent.headers}
        assert names.isdisjoint({b"connection", b"x-hop", b"keep-alive"})

    def test_empty_body_keeps_content_length(self) -> None:
        sent = self.encode(make_request((b"Content-Length", b"0")))
        assert sent.find(b"content-length") == "0"

    def test_last_event_id_of_resumed_stream_is_replaced(self) -> None:
        sent = self.encode(make_request((b"Last-Event-Id", b"3")), last_event_id="12")
        values = [v for k, v in sent.headers if k.lower() == b"last-event-id"]
        assert values == [b"12"]


class TestCredentials:
    """API keys, token usage and the customer's name."""

    @pytest.mark.parametrize(
        ("value", "key"),
        [
            (b"Bearer abc", "abc"),
            (b"bearer  abc ", "abc"),
            (b"Basic abc", None),
            (b"Bearer", None),
            (b"Bearer ", None),
            (b"", None),
        ],
    )
    def test_key_is_decoded(self, value: bytes, key: str | None) -> None:
        assert read_key(make_request((b"Authorization", value))) == key

    @pytest.mark.parametrize("usage", [b"1,%d" % 2**64, b"9" * 5000 + b",1"])
    def test_count_beyond_64_bits_is_malformed(self, usage: bytes) -> None:
        """It failed the encoding of all messages of an edge that were sent with it."""
        fields = decode_request(make_request((b"X-Token-Usage", usage)))
        assert not fields.has_usage
        assert fields.prompt.tokens < 2**63
        assert fields.prompt.max_output_tokens < 2**63

    @pytest.mark.parametrize("usage", [b"", b"x,1", b"1", b"1,-2", b"1,2,3"])
    def test_malformed_usage_counts_as_missing(self, usage: bytes) -> None:
        assert not decode_request(make_request((b"X-Token-Usage", usage))).has_usage

    def test_customer_replaces_field_of_caller(self) -> None:
        sent = encode_for_runner(
            make_request((b"x-TENANT", b"evil"), (b"AUTHORIZATION", b"Bearer abc")),
            runner_id="i-1",
            time_left_s=1.0,
            priority=None,
            last_event_id=None,
            customer="acme",
            forwards_credentials=False,
        )
        assert sent.find(b"x-tenant") == "acme"
        assert sum(1 for name, _ in sent.headers if name.lower() == b"x-tenant") == 1
        assert sent.find(b"authorization") is None

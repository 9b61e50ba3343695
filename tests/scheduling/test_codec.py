"""Tests of the messages between edges and the scheduler."""

import zlib

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from mangoway.coordination.store import Change, Changes, Item
from mangoway.models.signals import LeavingReport
from mangoway.policy.customers.spending import SpendingEntry
from mangoway.policy.limits.cooldowns import CooldownReport
from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.events import (
    EndKind,
    FirstEventSeen,
    Grant,
    PermitRequest,
    QuotaSpent,
    Reject,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
    StreamMoved,
    TransferFailed,
    TransferReason,
    TransferStream,
)
from mangoway.scheduling.codec import (
    MAX_PAYLOAD_BYTES,
    MIN_COMPRESSED_BYTES,
    CodecError,
    FrameReader,
    decode_payload,
    encode_frame,
)
from mangoway.scheduling.messages import (
    ClockRequest,
    ClockResponse,
    Heartbeat,
    Hello,
    Message,
    RelayedStatement,
    StoreChanges,
    StoreSnapshot,
)

from ..fakes.fleet import make_grant_request
from ..fakes.revisions import at

ITEM = Item(key="k", value=b"\x00\xffvalue", revision=at(3), lease_id=9)
MESSAGES: list[Message] = [
    Hello(edge="e1", host="h", data_centre="dc1", requests_grants=True, revision=at(4)),
    Hello(
        edge="e1",
        host="h",
        data_centre="dc1",
        requests_grants=True,
        revision=at(4),
        transfers_streams=True,
    ),
    Heartbeat(leading=True, store_age_s=0.25, period_s=0.15),
    Heartbeat(leading=True, store_age_s=9.0, period_s=0.15, absent=("e1", "e2")),
    Heartbeat(
        leading=True,
        store_age_s=0.25,
        period_s=0.15,
        known_at=12.5,
        exhausted=(("acme", 1.25),),
    ),
    ClockRequest(requested_at=3.5),
    ClockResponse(requested_at=3.5, clock_s=9.25),
    QuotaSpent(customer="acme", amount=-150.0),
    SpendingReported(rows=(SpendingEntry("acme", 1.5, 300.0),)),
    LimitReport(
        runner_id="r1",
        started_ms=5,
        limit=1.5,
        request_age_s=0.2,
        response_age_s=0.1,
        recent_requests=3,
    ),
    LimitReport(
        runner_id="r1", started_ms=0, limit=None, request_age_s=0.2, response_age_s=0.1
    ),
    CooldownReport(edge="e1", runner_id="r1", started_ms=5, rest_s=2.5),
    LeavingReport(runner_id="r1", started_ms=5),
    PermitRequest(request_id="p1", edge="e1", runner_id="r1", started_ms=5),
    make_grant_request("q1", adapter="x", excluded=("r1",), only=("r2",), repeat=True),
    evolve(make_grant_request("q1"), customer="acme", cost=150.0, route_priority=2),
    RequestAdopted(
        grant_request=make_grant_request("q2"), runner_id="r1", prefilling=False
    ),
    FirstEventSeen(edge="e1", request_id="q1"),
    RequestEnded(edge="e1", request_id="q1", kind=EndKind.NOT_HELD),
    RequestEnded(
        edge="e1", request_id="q1", kind=EndKind.SERVED, events=12, event_s=0.04
    ),
    StreamMoved(edge="e1", request_id="q1", runner_id="r2"),
    TransferFailed(edge="e1", request_id="q1", target_runner_id="r2"),
    evolve(make_grant_request("q1"), streaming=True, interrupted=True),
    evolve(make_grant_request("q1"), streaming=True, resumable=True),
    make_grant_request("q1", software_version="v1.2"),
    Grant(edge="e1", request_id="q1", runner_id="r1"),
    Grant(edge="e1", request_id="q1", runner_id="r1", backup_runner_id="r2"),
    TransferStream(
        edge="e1",
        request_id="q1",
        source_runner_id="r1",
        target_runner_id="r2",
        reason=TransferReason.YIELDING,
    ),
    RelayedStatement(key="crashes/i-1@0/e1", value=b'{"charges": []}'),
    Reject(edge="e1", request_id="q1", retry_after_s=0.5, reason="why"),
    Reject(
        edge="e1", request_id="q1", retry_after_s=0.5, reason="why", over_quota=True
    ),
    StoreSnapshot(keys=("k", "l"), items=(ITEM,), revision=at(5), retention_s=0.0),
    StoreChanges(
        changes=Changes(
            changes=(
                Change(key="k", revision=at(3), item=ITEM),
                Change(key="l", revision=at(4), item=None),
            ),
            revision=at(4),
        ),
        retention_s=1.5,
    ),
]


def decode(data: bytes) -> list[Message]:
    [payload] = FrameReader().feed(data)
    return decode_payload(payload, "e1")


class TestOddFrames:
    """Frames that a process of the system doesn't send."""

    def test_payload_that_expands_to_much_raises_error(self) -> None:
        """A few hundred kilobytes would expand to more than a process may use."""
        payload = b"[" + b" " * (MAX_PAYLOAD_BYTES + 1) + b"]"
        with pytest.raises(CodecError, match="too large"):
            decode_payload(b"\1" + zlib.compress(payload), "e1")

    def test_truncated_compressed_payload_raises_error(self) -> None:
        payload = zlib.compress(b'["first","q1"]')[:-5]
        with pytest.raises(CodecError):
            decode_payload(b"\1" + payload, "e1")


class TestMessages:
    """Messages that are encoded and decoded again."""

    def test_all_kinds_in_one_frame(self) -> None:
        assert decode(encode_frame(MESSAGES)) == MESSAGES

    def test_large_frame_is_compressed(self) -> None:
        items = tuple(
            Item(key=f"k{number}", value=b"route" * 40, revision=at(number))
            for number in range(100)
        )
        state = StoreSnapshot(
            keys=tuple(each.key for each in items),
            items=items,
            revision=at(100),
            retention_s=0.0,
        )
        data = encode_frame([state])
        # Uncompressed, each of the 100 entries takes fewer than 300 bytes.
        assert MIN_COMPRESSED_BYTES < len(data) * 8 < 100 * 300
        assert decode(data) == [state]


class TestFrames:
    """Frames split at any position, and invalid frames."""

    @given(cuts=st.lists(st.integers(1, 2000), max_size=6))
    def test_split_positions_do_not_matter(self, cuts: list[int]) -> None:
        data = encode_frame(MESSAGES[:3]) + encode_frame(MESSAGES[3:])
        reader = FrameReader()
        payloads: list[bytes] = []
        start = 0
        for end in sorted({*(each for each in cuts if each < len(data)), len(data)}):
            payloads += reader.feed(data[start:end])
            start = end
        received = [each for part in payloads for each in decode_payload(part, "e1")]
        assert received == MESSAGES

    @pytest.mark.parametrize(
        "payload", [b"", b"\x00[[]]", b"\x00nonsense", b"\x01nonsense", b'\x00[["x"]]']
    )
    def test_invalid_payload_is_an_error(self, payload: bytes) -> None:
        with pytest.raises(CodecError):
            decode_payload(payload, "e1")

    def test_oversized_frame_is_an_error(self) -> None:
        with pytest.raises(CodecError):
            FrameReader().feed(b"\xff\xff\xff\xff")

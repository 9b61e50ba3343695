"""Tests of heartbeat encoding: every entry and report is received unchanged."""

from collections.abc import Iterator
from itertools import count

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from mangoway.models.artifact import Artifact
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    AdapterName,
    ConfigVersion,
    DataCentreId,
    FenceNumber,
    HostId,
    IncarnationId,
    ModelName,
    UpstreamId,
    VersionName,
)
from mangoway.models.member import Member, MemberState, ProcessRole, Suspicion
from mangoway.models.upstream import EngineReport, Residency, ResidentArtifact
from mangoway.peers import peers_pb2 as pb
from mangoway.peers import slots
from mangoway.peers.const import MAX_REPORTS_PER_HEARTBEAT
from mangoway.peers.heartbeat import HeartbeatCodec
from mangoway.peers.reports import ReportTracker

NAMES = st.text("abcdef-", min_size=1, max_size=6)


def _make_codec(name: str, first_session: int) -> HeartbeatCodec:
    sessions: Iterator[int] = count(first_session)
    return HeartbeatCodec(IncarnationId(name), ReportTracker(), lambda: next(sessions))


def _make_member(number: int, **changes: object) -> Member:
    member = Member(
        host=HostId(f"host-{number}"),
        role=ProcessRole.GATEWAY,
        incarnation=IncarnationId(f"host-{number}.1"),
        started_at=1000.5 + number,
        data_centre=DataCentreId("dc-1"),
        peer_address=f"127.0.0.1:{7000 + number}",
        caller_address=f"127.0.0.1:{8000 + number}",
        beat=3,
        config_version=ConfigVersion(12),
    )
    return evolve(member, **changes)


def _make_report(number: int, time: float, running: int = 1) -> EngineReport:
    return EngineReport(
        upstream=UpstreamId(f"runner-{number}"),
        incarnation=IncarnationId(f"engine-{number}.1"),
        reported_at=time,
        running=running,
        waiting=2,
        kv_cache_used_mb=70,
        fence=FenceNumber(5),
        residents=(
            ResidentArtifact(
                artifact=Artifact(ModelName("chat"), VersionName("3")),
                memory_mb=900,
                state=Residency.READY,
            ),
        ),
    )


@st.composite
def _members(draw: st.DrawFn) -> tuple[Member, ...]:
    numbers = draw(st.lists(st.integers(0, 40), unique=True, max_size=8))
    return tuple(
        _make_member(
            number,
            role=tuple(ProcessRole)[number % 2],
            caller_address=None if number % 2 else "127.0.0.1:9",
            state=draw(st.sampled_from(MemberState)),
            beat=draw(st.integers(0, 2**31)),
            config_version=ConfigVersion(draw(st.integers(0, 2**20))),
            ready=draw(st.booleans()),
            successor=draw(st.none() | NAMES.map(IncarnationId)),
            suspicion=draw(
                st.none()
                | st.builds(Suspicion, st.integers(0, 2**32 - 1), st.booleans())
            ),
        )
        for number in numbers
    )


@st.composite
def _residents(draw: st.DrawFn) -> tuple[ResidentArtifact, ...]:
    artifact = st.builds(
        Artifact,
        NAMES.map(ModelName),
        NAMES.map(VersionName),
        st.none() | NAMES.map(AdapterName),
    )
    resident = st.builds(
        ResidentArtifact,
        artifact=artifact,
        memory_mb=st.integers(0, 2**31),
        state=st.sampled_from(Residency),
    )
    return tuple(draw(st.lists(resident, max_size=4)))


class TestMembers:
    """Entries of processes."""

    @given(rounds=st.lists(_members(), max_size=4))
    def test_entries_are_received_unchanged(
        self, rounds: list[tuple[Member, ...]]
    ) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        for members in rounds:
            received = receiver.decode(sender.encode(100, members, 0.0), 0.0)
            assert received.members == members

    def test_identity_is_sent_once_per_peer(self) -> None:
        sender = _make_codec("host-0.1", 1)
        members = (_make_member(0), _make_member(1))
        first = sender.encode(100, members, 0.0)
        second = sender.encode(100, members, 0.0)
        assert len(first.identities) == 2
        assert len(second.identities) == 0
        assert second.ByteSize() < 60

    def test_sender_is_identified_by_its_own_slot(self) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        received = receiver.decode(
            sender.encode(100, (_make_member(1), _make_member(0)), 0.0), 0.0
        )
        assert received.sender == HostId("host-0")

    def test_restarted_receiver_requests_and_receives_identities(self) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        members = (_make_member(0), _make_member(1))
        receiver.decode(sender.encode(100, members, 0.0), 0.0)
        restarted = _make_codec("other", 100)
        received = restarted.decode(sender.encode(100, members, 0.0), 0.0)
        assert received.sender is None
        assert received.members == ()
        sender.decode(restarted.encode(1, (), 0.0), 0.0)
        received = restarted.decode(sender.encode(100, members, 0.0), 0.0)
        assert received.members == members

    def test_exhausted_slots_start_a_new_session(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(slots, "MAX_SLOTS", 3)
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        for number in range(8):
            members = (_make_member(0), _make_member(number))
            heartbeat = sender.encode(100, members, 0.0)
            assert receiver.decode(heartbeat, 0.0).members == members

    @pytest.mark.parametrize("change", ["uneven", "state", "role", "artifact"])
    def test_malformed_heartbeat_is_rejected_with_a_code(self, change: str) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        sender.report_tracker.add_if_newer(_make_report(1, 0.0))
        heartbeat = sender.encode(100, (_make_member(0),), 0.0)
        match change:
            case "uneven":
                heartbeat.members.slots.append(0)
            case "state":
                heartbeat.members.flags[0] = 3
            case "role":
                heartbeat.identities[0].role = pb.Role.ValueType(9)
            case "artifact":
                heartbeat.names[-1].text = "no-version"
        with pytest.raises(MangowayError) as raised:
            receiver.decode(heartbeat, 0.0)
        assert raised.value.code is ErrorCode.PEER_FAILED


class TestReports:
    """Reports of runners."""

    @given(rounds=st.lists(_residents(), min_size=1, max_size=4))
    def test_reports_are_received_unchanged(
        self, rounds: list[tuple[ResidentArtifact, ...]]
    ) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        for time, residents in enumerate(rounds):
            report = evolve(_make_report(1, float(time)), residents=residents)
            sender.report_tracker.add_if_newer(report)
            received = receiver.decode(sender.encode(100, (), float(time)), float(time))
            assert received.reports == (report,)

    def test_age_is_converted_to_the_clock_of_the_receiver(self) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        sender.report_tracker.add_if_newer(_make_report(1, 10.0))
        received = receiver.decode(sender.encode(100, (), 10.5), 77.0)
        assert received.reports[0].reported_at == pytest.approx(76.5)

    def test_report_is_not_sent_back_to_its_source(self) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        sender.report_tracker.add_if_newer(_make_report(1, 1.0))
        receiver.decode(sender.encode(100, (), 1.0), 1.0)
        assert len(receiver.encode(1, (), 1.0).loads.runners) == 0
        assert len(receiver.encode(2, (), 1.0).loads.runners) == 1

    def test_reply_leaves_out_reports_that_the_peer_has(self) -> None:
        one, other = _make_codec("host-0.1", 1), _make_codec("other", 100)
        for number, time in ((1, 5.0), (2, 5.0), (3, 9.0)):
            one.report_tracker.add_if_newer(_make_report(number, 5.0), source=7)
            other.report_tracker.add_if_newer(_make_report(number, time), source=8)
        other.decode(one.encode(100, (), 9.0), 9.0)
        reply = other.encode(1, (), 9.0)
        received = one.decode(reply, 9.0)
        assert [report.upstream for report in received.reports] == ["runner-3"]
        assert len(reply.loads.runners) == 1

    def test_first_heartbeat_has_all_reports_and_later_ones_the_newest(self) -> None:
        sender = _make_codec("host-0.1", 1)
        count_all = MAX_REPORTS_PER_HEARTBEAT + 30
        for number in range(count_all):
            sender.report_tracker.add_if_newer(_make_report(number, 1.0))
        assert len(sender.encode(100, (), 1.0).loads.runners) == count_all
        for number in range(count_all):
            sender.report_tracker.add_if_newer(_make_report(number, 2.0 + number))
        ages = sender.encode(100, (), 2.0 + count_all).loads.ages
        assert list(ages) == list(range(100 * MAX_REPORTS_PER_HEARTBEAT, 0, -100))

    def test_older_report_does_not_replace_a_newer_one(self) -> None:
        report_tracker = ReportTracker()
        report_tracker.add_if_newer(_make_report(1, 5.0, running=8))
        assert not report_tracker.add_if_newer(
            _make_report(1, 4.0, running=1), source=7
        )
        entry = report_tracker.get(UpstreamId("runner-1"))
        assert entry is not None
        assert entry.report.running == 8

    def test_lost_residency_is_requested_and_resent(self) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        sender.report_tracker.add_if_newer(_make_report(1, 1.0))
        sender.encode(100, (), 1.0)
        newer = _make_report(1, 2.0, running=9)
        sender.report_tracker.add_if_newer(newer)
        assert receiver.decode(sender.encode(100, (), 2.0), 2.0).reports == ()
        sender.decode(receiver.encode(1, (), 2.0), 2.0)
        received = receiver.decode(sender.encode(100, (), 2.0), 2.0)
        assert received.reports == (newer,)

    def test_slot_beyond_the_limit_is_rejected(self) -> None:
        sender, receiver = _make_codec("host-0.1", 1), _make_codec("other", 100)
        heartbeat = sender.encode(100, (_make_member(0),), 0.0)
        heartbeat.names.add(slot=2**31, text="runner-1")
        with pytest.raises(MangowayError) as raised:
            receiver.decode(heartbeat, 0.0)
        assert raised.value.code is ErrorCode.PEER_FAILED

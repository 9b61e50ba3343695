"""Encoding and decoding of a process's heartbeats, with the state of each peer."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

from attrs import define, field

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import IncarnationId, UpstreamId
from ..models.member import Member
from . import peers_pb2 as pb
from .const import (
    DUPLICATE_REPORT_WINDOW_S,
    MAX_FIRST_REPORTS,
    MAX_REPORTS_PER_HEARTBEAT,
    MAX_SESSIONS,
    OWN_SLOT,
)
from .member_codec import decode_members, encode_members
from .messages import ReceivedHeartbeat
from .report_codec import ReportDecoder, ReportEncoder
from .reports import ReportEntry, ReportTracker
from .slots import RecentSenderSlots, SentState, SlotsExhausted, SlotTable


@define(eq=False)
class UnknownSlots:
    """Slots of a peer that are unknown here; the peer has to resend their data."""

    members: set[int] = field(factory=set)
    names: set[int] = field(factory=set)
    residencies: set[int] = field(factory=set)


@define(eq=False)
class HeartbeatCodec:
    """Encodes and decodes the heartbeats of one process.

    `make_session` returns a new session number that is not 0.
    """

    own: IncarnationId
    report_tracker: ReportTracker
    make_session: Callable[[], int]
    _session: int = field(init=False)
    _table: SlotTable = field(init=False)
    _sent: OrderedDict[int, SentState] = field(factory=OrderedDict, init=False)
    _recent_senders: RecentSenderSlots = field(factory=RecentSenderSlots, init=False)
    _unknown_slots: dict[int, UnknownSlots] = field(factory=dict, init=False)
    _sender_report_times: dict[int, dict[UpstreamId, float]] = field(
        factory=dict, init=False
    )
    """Times of the runner reports in the last received heartbeat, by the session of its
    sender; the reply leaves out reports that the sender already has."""

    def __attrs_post_init__(self) -> None:
        self._begin_session()

    def encode(
        self, peer_session: int, members: Sequence[Member], now: float
    ) -> pb.Heartbeat:
        """Return a heartbeat for a peer; 0 stands for an unknown session."""
        try:
            return self._encode(peer_session, members, now)
        except SlotsExhausted:
            self._begin_session()
            return self._encode(peer_session, members, now)

    def decode(self, heartbeat: pb.Heartbeat, now: float) -> ReceivedHeartbeat:
        """Decode a heartbeat and add its newer reports to the report tracker.

        Raises:
            MangowayError: PEER_FAILED if the message violates the protocol.
        """
        try:
            return self._decode(heartbeat, now)
        except (LookupError, ValueError) as error:
            detail = f"malformed heartbeat: {error!r}"
            raise MangowayError(ErrorCode.PEER_FAILED, detail) from error

    def reset_peer(self, peer_session: int) -> None:
        """Forget what a peer was sent, so that the next heartbeat resends all of it.

        It must be called after a heartbeat to the peer was lost.
        """
        self._sent.pop(peer_session, None)

    def _begin_session(self) -> None:
        self._session = self.make_session()
        self._table = SlotTable(self.own)
        self._sent.clear()

    def _encode(
        self, peer_session: int, members: Sequence[Member], now: float
    ) -> pb.Heartbeat:
        sent = self._get_or_create_sent_state(peer_session)
        heartbeat = pb.Heartbeat(session=self._session, receiver_session=peer_session)
        encode_members(members, self._table, sent, heartbeat)
        self._add_reports(sent, heartbeat, now)
        self._add_unknown_slots(peer_session, heartbeat)
        return heartbeat

    def _add_reports(
        self, sent: SentState, heartbeat: pb.Heartbeat, now: float
    ) -> None:
        is_first = not sent.reports_up_to
        limit = MAX_FIRST_REPORTS if is_first else MAX_REPORTS_PER_HEARTBEAT
        entries = self.report_tracker.list_since(sent.reports_up_to, limit)
        if not entries:
            return
        sent.reports_up_to = entries[-1].update
        report_times = self._sender_report_times.pop(sent.session, {})
        others = [
            entry
            for entry in entries
            if entry.source != sent.session and not _has_report(report_times, entry)
        ]
        ReportEncoder(self._table, sent, heartbeat, now).add(others)

    def _add_unknown_slots(self, peer_session: int, heartbeat: pb.Heartbeat) -> None:
        unknown = self._unknown_slots.pop(peer_session, None)
        if unknown is None:
            return
        heartbeat.unknown_members.extend(sorted(unknown.members))
        heartbeat.unknown_names.extend(sorted(unknown.names))
        heartbeat.unknown_residencies.extend(sorted(unknown.residencies))

    def _get_or_create_sent_state(self, peer_session: int) -> SentState:
        sent = self._sent.get(peer_session)
        if sent is None:
            sent = SentState(peer_session)
            if peer_session:
                self._sent[peer_session] = sent
        if len(self._sent) > MAX_SESSIONS:
            self._sent.popitem(last=False)
        return sent

    def _decode(self, heartbeat: pb.Heartbeat, now: float) -> ReceivedHeartbeat:
        session = heartbeat.session
        self._mark_for_resend(heartbeat)
        sender_slots = self._recent_senders.get(session)
        unknown = UnknownSlots()
        members = decode_members(heartbeat, sender_slots, unknown.members)
        decoder = ReportDecoder(sender_slots, self.report_tracker, now)
        reports = decoder.decode(heartbeat)
        unknown.names = decoder.unknown_names
        unknown.residencies = decoder.unknown_residencies
        if unknown.members or unknown.names or unknown.residencies:
            self._unknown_slots[session] = unknown
        self._sender_report_times = {session: decoder.report_times}
        newer = tuple(
            report
            for report in reports
            if self.report_tracker.add_if_newer(report, source=session)
        )
        sender = sender_slots.members.get(OWN_SLOT)
        return ReceivedHeartbeat(
            sender=None if sender is None else sender.host,
            sender_address=None if sender is None else sender.peer_address,
            members=members,
            reports=newer,
        )

    def _mark_for_resend(self, heartbeat: pb.Heartbeat) -> None:
        sent = self._sent.get(heartbeat.session)
        # Slots of an earlier session of this process are no longer in use.
        if sent is None or heartbeat.receiver_session != self._session:
            return
        for slot in heartbeat.unknown_members:
            sent.successors.pop(slot, None)
        for slot in heartbeat.unknown_residencies:
            sent.residencies.pop(slot, None)
        if heartbeat.unknown_names:
            sent.names.clear()
            sent.residencies.clear()
        if heartbeat.unknown_names or heartbeat.unknown_residencies:
            sent.reports_up_to = 0


def _has_report(report_times: dict[UpstreamId, float], entry: ReportEntry) -> bool:
    """Return whether a peer already has the report of an entry, or a newer one."""
    reported_at = report_times.get(entry.report.upstream)
    if reported_at is None:
        return False
    return entry.report.reported_at <= reported_at + DUPLICATE_REPORT_WINDOW_S

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
from .slots import PeerView, SenderViews, SlotsExhausted, SlotTable


@define(eq=False)
class UnknownSlots:
    """Unknown slots of a peer, which it has to resend."""

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
    _peers: OrderedDict[int, PeerView] = field(factory=OrderedDict, init=False)
    _senders: SenderViews = field(factory=SenderViews, init=False)
    _unknown_slots: dict[int, UnknownSlots] = field(factory=dict, init=False)
    _sender_report_times: dict[int, dict[UpstreamId, float]] = field(
        factory=dict, init=False
    )
    """Times of the reports in the last received heartbeat, by its session, so that the
    reply leaves out reports that the peer has."""

    def __attrs_post_init__(self) -> None:
        self._begin_session()

    def encode(
        self, peer_session: int, members: Sequence[Member], now: float
    ) -> pb.Heartbeat:
        """Return a heartbeat for a peer; session 0 is for an unknown peer."""
        try:
            return self._encode(peer_session, members, now)
        except SlotsExhausted:
            self._begin_session()
            return self._encode(peer_session, members, now)

    def decode(self, heartbeat: pb.Heartbeat, now: float) -> ReceivedHeartbeat:
        """Decode a heartbeat and add its reports to the report tracker.

        Raises:
            MangowayError: PEER_FAILED if the message violates the protocol.
        """
        try:
            return self._decode(heartbeat, now)
        except (LookupError, ValueError) as error:
            detail = f"malformed heartbeat: {error!r}"
            raise MangowayError(ErrorCode.PEER_FAILED, detail) from error

    def reset_peer(self, peer_session: int) -> None:
        """Resend everything to a peer, since a heartbeat to it was lost."""
        self._peers.pop(peer_session, None)

    def _begin_session(self) -> None:
        self._session = self.make_session()
        self._table = SlotTable(self.own)
        self._peers.clear()

    def _encode(
        self, peer_session: int, members: Sequence[Member], now: float
    ) -> pb.Heartbeat:
        view = self._get_or_create_view(peer_session)
        heartbeat = pb.Heartbeat(session=self._session, receiver_session=peer_session)
        encode_members(members, self._table, view, heartbeat)
        self._add_reports(view, heartbeat, now)
        self._add_unknown_slots(peer_session, heartbeat)
        return heartbeat

    def _add_reports(self, view: PeerView, heartbeat: pb.Heartbeat, now: float) -> None:
        is_first = not view.reports_up_to
        limit = MAX_FIRST_REPORTS if is_first else MAX_REPORTS_PER_HEARTBEAT
        entries = self.report_tracker.list_since(view.reports_up_to, limit)
        if not entries:
            return
        view.reports_up_to = entries[-1].update
        report_times = self._sender_report_times.pop(view.session, {})
        others = [
            entry
            for entry in entries
            if entry.source != view.session and not _has_report(report_times, entry)
        ]
        ReportEncoder(self._table, view, heartbeat, now).add(others)

    def _add_unknown_slots(self, peer_session: int, heartbeat: pb.Heartbeat) -> None:
        unknown = self._unknown_slots.pop(peer_session, None)
        if unknown is None:
            return
        heartbeat.unknown_members.extend(sorted(unknown.members))
        heartbeat.unknown_names.extend(sorted(unknown.names))
        heartbeat.unknown_residencies.extend(sorted(unknown.residencies))

    def _get_or_create_view(self, peer_session: int) -> PeerView:
        view = self._peers.get(peer_session)
        if view is None:
            view = PeerView(peer_session)
            if peer_session:
                self._peers[peer_session] = view
        if len(self._peers) > MAX_SESSIONS:
            self._peers.popitem(last=False)
        return view

    def _decode(self, heartbeat: pb.Heartbeat, now: float) -> ReceivedHeartbeat:
        session = heartbeat.session
        self._mark_for_resend(heartbeat)
        sender = self._senders.get(session)
        unknown = UnknownSlots()
        members = decode_members(heartbeat, sender, unknown.members)
        decoder = ReportDecoder(sender, self.report_tracker, now)
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
        own = sender.members.get(OWN_SLOT)
        return ReceivedHeartbeat(
            sender=None if own is None else own.host,
            sender_address=None if own is None else own.peer_address,
            members=members,
            reports=newer,
        )

    def _mark_for_resend(self, heartbeat: pb.Heartbeat) -> None:
        view = self._peers.get(heartbeat.session)
        if view is None or heartbeat.receiver_session != self._session:
            return
        for slot in heartbeat.unknown_members:
            view.successors.pop(slot, None)
        for slot in heartbeat.unknown_residencies:
            view.residencies.pop(slot, None)
        if heartbeat.unknown_names:
            view.names.clear()
            view.residencies.clear()
        if heartbeat.unknown_names or heartbeat.unknown_residencies:
            view.reports_up_to = 0


def _has_report(report_times: dict[UpstreamId, float], entry: ReportEntry) -> bool:
    """Return whether a peer's report of a runner is as new as the own entry."""
    reported_at = report_times.get(entry.report.upstream)
    if reported_at is None:
        return False
    return entry.report.reported_at <= reported_at + DUPLICATE_REPORT_WINDOW_S

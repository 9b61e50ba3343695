"""Heartbeats of one process, with what each peer was sent and said."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

from attrs import define, field

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import IncarnationId, UpstreamId
from ..models.member import Member
from . import peers_pb2 as pb
from .const import (
    MAX_FIRST_REPORTS,
    MAX_REPORTS_PER_HEARTBEAT,
    MAX_SESSIONS,
    OWN_SLOT,
    SAME_REPORT_S,
)
from .member_codec import decode_members, encode_members
from .messages import ReceivedHeartbeat
from .report_codec import ReportDecoder, ReportEncoder
from .reports import ReportEntry, ReportTracker
from .slots import PeerView, SenderViews, SlotsExhausted, SlotTable


@define(eq=False)
class Wanted:
    """Slots of a peer that it has to send again."""

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
    _wanted: dict[int, Wanted] = field(factory=dict, init=False)
    _heard: dict[int, dict[UpstreamId, float]] = field(factory=dict, init=False)
    """Reports in the last heartbeat by its session, so that the reply leaves out what
    the peer has."""

    def __attrs_post_init__(self) -> None:
        self._begin_session()

    def encode(
        self, peer_session: int, members: Sequence[Member], now: float
    ) -> pb.Heartbeat:
        """Return a heartbeat for a peer; session 0 stands for an unknown peer."""
        try:
            return self._encode(peer_session, members, now)
        except SlotsExhausted:
            self._begin_session()
            return self._encode(peer_session, members, now)

    def decode(self, heartbeat: pb.Heartbeat, now: float) -> ReceivedHeartbeat:
        """Resolve a heartbeat; its reports go into the book.

        Raises:
            MangowayError: PEER_FAILED if the message breaks the protocol.
        """
        try:
            return self._decode(heartbeat, now)
        except (LookupError, ValueError) as error:
            detail = f"malformed heartbeat: {error!r}"
            raise MangowayError(ErrorCode.PEER_FAILED, detail) from error

    def forget(self, peer_session: int) -> None:
        """Send a peer everything anew, since a heartbeat to it was lost."""
        self._peers.pop(peer_session, None)

    def _begin_session(self) -> None:
        self._session = self.make_session()
        self._table = SlotTable(self.own)
        self._peers.clear()

    def _encode(
        self, peer_session: int, members: Sequence[Member], now: float
    ) -> pb.Heartbeat:
        view = self._use_view(peer_session)
        heartbeat = pb.Heartbeat(session=self._session, receiver_session=peer_session)
        encode_members(members, self._table, view, heartbeat)
        self._add_reports(view, heartbeat, now)
        self._add_wanted(peer_session, heartbeat)
        return heartbeat

    def _add_reports(self, view: PeerView, heartbeat: pb.Heartbeat, now: float) -> None:
        is_first = not view.reports_up_to
        limit = MAX_FIRST_REPORTS if is_first else MAX_REPORTS_PER_HEARTBEAT
        entries = self.report_tracker.list_since(view.reports_up_to, limit)
        if not entries:
            return
        view.reports_up_to = entries[-1].update
        heard = self._heard.pop(view.session, {})
        others = [
            entry
            for entry in entries
            if entry.source != view.session and not _has_heard(heard, entry)
        ]
        ReportEncoder(self._table, view, heartbeat, now).add(others)

    def _add_wanted(self, peer_session: int, heartbeat: pb.Heartbeat) -> None:
        wanted = self._wanted.pop(peer_session, None)
        if wanted is None:
            return
        heartbeat.unknown_members.extend(sorted(wanted.members))
        heartbeat.unknown_names.extend(sorted(wanted.names))
        heartbeat.unknown_residencies.extend(sorted(wanted.residencies))

    def _use_view(self, peer_session: int) -> PeerView:
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
        self._send_again(heartbeat)
        sender = self._senders.get(session)
        wanted = Wanted()
        members = decode_members(heartbeat, sender, wanted.members)
        decoder = ReportDecoder(sender, self.report_tracker, now)
        reports = decoder.decode(heartbeat)
        wanted.names = decoder.unknown_names
        wanted.residencies = decoder.unknown_residencies
        if wanted.members or wanted.names or wanted.residencies:
            self._wanted[session] = wanted
        self._heard = {session: decoder.heard}
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

    def _send_again(self, heartbeat: pb.Heartbeat) -> None:
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


def _has_heard(heard: dict[UpstreamId, float], entry: ReportEntry) -> bool:
    """Return whether a peer's report of a runner is as new as an entry."""
    reported_at = heard.get(entry.report.upstream)
    if reported_at is None:
        return False
    return entry.report.reported_at <= reported_at + SAME_REPORT_S

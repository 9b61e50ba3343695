"""Log of processes that join, leave and are gone."""

from attrs import define, field

from ..models.identifiers import IncarnationId
from ..models.member import Member, MemberState
from ..observability import events as log
from ..observability.event_log import log_event


@define(eq=False)
class MemberLog:
    """Logs changes of the member entries."""

    _known: dict[IncarnationId, Member] = field(factory=dict, init=False)

    def log_changes(self, members: tuple[Member, ...]) -> None:
        """Log the changes since the last call."""
        previous = self._known
        self._known = {member.incarnation: member for member in members}
        for member in members:
            old = previous.get(member.incarnation)
            if old is None or old.state is not member.state:
                _log_state(member)
            _log_suspicion(old, member)
        for incarnation, member in previous.items():
            if incarnation not in self._known and member.state is not MemberState.GONE:
                _log_gone(member)


def _log_state(member: Member) -> None:
    match member.state:
        case MemberState.LIVE:
            log_event(
                log.MemberJoined(
                    peer=member.host,
                    incarnation=member.incarnation,
                    peer_role=member.role.value,
                )
            )
        case MemberState.LEAVING:
            log_event(
                log.MemberLeaving(peer=member.host, incarnation=member.incarnation)
            )
        case MemberState.GONE:
            _log_gone(member)


def _log_suspicion(old: Member | None, member: Member) -> None:
    if member.state is MemberState.GONE:
        return
    if member.is_suspected and (old is None or not old.is_suspected):
        log_event(
            log.MemberSuspected(
                peer=member.host,
                incarnation=member.incarnation,
                refused=member.is_refused,
            )
        )
    elif old is not None and old.is_suspected and not member.is_suspected:
        log_event(
            log.SuspicionRefuted(peer=member.host, incarnation=member.incarnation)
        )


def _log_gone(member: Member) -> None:
    log_event(log.MemberGone(peer=member.host, incarnation=member.incarnation))

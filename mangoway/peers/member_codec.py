"""Conversion of member entries to heartbeat columns and back."""

from collections.abc import Sequence

from attrs import evolve

from ..models.identifiers import (
    ConfigVersion,
    DataCentreId,
    HostId,
    IncarnationId,
)
from ..models.member import Member, MemberState, ProcessRole, Suspicion
from . import peers_pb2 as pb
from .slots import SenderSlots, SentState, SlotTable

STATE_MASK = 0b11
READY_FLAG = 0b100

_STATES = (MemberState.LIVE, MemberState.LEAVING, MemberState.GONE)
_STATE_NUMBERS = {state: number for number, state in enumerate(_STATES)}
_ROLE_NUMBERS = {
    ProcessRole.GATEWAY: pb.ROLE_GATEWAY,
    ProcessRole.CONTROLLER: pb.ROLE_CONTROLLER,
}
_ROLES_BY_NUMBER = {number: role for role, number in _ROLE_NUMBERS.items()}


def encode_members(
    members: Sequence[Member],
    table: SlotTable,
    sent: SentState,
    heartbeat: pb.Heartbeat,
) -> None:
    """Add entries to a heartbeat, with identities not yet sent to the peer."""
    columns = heartbeat.members
    newest = max((member.config_version for member in members), default=0)
    columns.newest_version = newest
    for member in members:
        slot = table.get_member_slot(member.incarnation)
        if _needs_identity(slot, member, sent):
            heartbeat.identities.append(_encode_identity(slot, member))
            sent.successors[slot] = member.successor
        columns.slots.append(slot)
        columns.beats.append(member.beat)
        columns.lags.append(newest - member.config_version)
        columns.flags.append(_encode_flags(member))
        if member.suspicion is not None:
            columns.suspicions.add(
                slot=slot,
                beat=member.suspicion.beat,
                refused=member.suspicion.is_refused,
            )


def decode_members(
    heartbeat: pb.Heartbeat, sender_slots: SenderSlots, unknown: set[int]
) -> tuple[Member, ...]:
    """Return the entries with known slots; add the other slots to `unknown`."""
    for identity in heartbeat.identities:
        sender_slots.members[identity.slot] = _decode_identity(identity)
    columns = heartbeat.members
    newest = columns.newest_version
    suspicions = {
        each.slot: Suspicion(each.beat, each.refused) for each in columns.suspicions
    }
    members: list[Member] = []
    rows = zip(columns.slots, columns.beats, columns.lags, columns.flags, strict=True)
    for slot, beat, lag, flags in rows:
        known = sender_slots.members.get(slot)
        if known is None:
            unknown.add(slot)
            continue
        member = _decode_row(known, beat, newest - lag, flags)
        members.append(evolve(member, suspicion=suspicions.get(slot)))
    return tuple(members)


def encode_role(role: ProcessRole) -> pb.Role.ValueType:
    """Return the protocol number of a role."""
    return _ROLE_NUMBERS[role]


def _needs_identity(slot: int, member: Member, sent: SentState) -> bool:
    if slot not in sent.successors:
        return True
    return sent.successors[slot] != member.successor


def _encode_identity(slot: int, member: Member) -> pb.MemberIdentity:
    return pb.MemberIdentity(
        slot=slot,
        host=member.host,
        role=_ROLE_NUMBERS[member.role],
        incarnation=member.incarnation,
        started_at=member.started_at,
        data_centre=member.data_centre,
        peer_address=member.peer_address,
        caller_address=member.caller_address or "",
        successor=member.successor or "",
    )


def _decode_identity(identity: pb.MemberIdentity) -> Member:
    return Member(
        host=HostId(identity.host),
        role=_ROLES_BY_NUMBER[identity.role],
        incarnation=IncarnationId(identity.incarnation),
        started_at=identity.started_at,
        data_centre=DataCentreId(identity.data_centre),
        peer_address=identity.peer_address,
        caller_address=identity.caller_address or None,
        successor=IncarnationId(identity.successor) if identity.successor else None,
    )


def _encode_flags(member: Member) -> int:
    flags = _STATE_NUMBERS[member.state]
    if member.ready:
        flags |= READY_FLAG
    return flags


def _decode_row(identity: Member, beat: int, version: int, flags: int) -> Member:
    return evolve(
        identity,
        state=_STATES[flags & STATE_MASK],
        beat=beat,
        config_version=ConfigVersion(version),
        ready=bool(flags & READY_FLAG),
    )

"""Address answers for callers that request the list of gateways."""

from collections.abc import Iterable

from ...models.identifiers import DataCentreId
from ...models.member import (
    AddressAnswer,
    GatewayAddress,
    Member,
    MemberState,
    ProcessRole,
)
from .const import MAX_SUSPECTED_SHARE


def build_address_answer(
    members: Iterable[Member],
    data_centre: DataCentreId,
    valid_for_s: float,
    rotation: int = 0,
) -> AddressAnswer:
    """Return the live gateways that are ready, those of the own data centre first.

    Suspected ones are left out unless `MAX_SUSPECTED_SHARE` is exceeded.

    Args:
        members: All members, with their state as seen by this process.
        data_centre: Data centre of this process.
        valid_for_s: Seconds for which callers may cache the answer.
        rotation: Number of the answer; each answer starts with another gateway, so
            that callers that use the first one are spread evenly.
    """
    usable = sorted(_list_usable(members), key=lambda member: member.host)
    local = [member for member in usable if member.data_centre == data_centre]
    remote = [member for member in usable if member.data_centre != data_centre]
    ordered = _rotate(local, rotation) + _rotate(remote, rotation)
    gateways = tuple(_make_address(member) for member in ordered)
    return AddressAnswer(gateways=gateways, valid_for_s=valid_for_s)


def _list_usable(members: Iterable[Member]) -> list[Member]:
    candidates = [member for member in members if _is_usable(member)]
    trusted = [member for member in candidates if not member.is_suspected]
    suspected = len(candidates) - len(trusted)
    if suspected > MAX_SUSPECTED_SHARE * len(candidates):
        return candidates
    return trusted


def _is_usable(member: Member) -> bool:
    is_live_gateway = (
        member.role is ProcessRole.GATEWAY and member.state is MemberState.LIVE
    )
    if not is_live_gateway or not member.ready or member.caller_address is None:
        return False
    return not member.is_refused


def _rotate(members: list[Member], rotation: int) -> list[Member]:
    if not members:
        return []
    start = rotation % len(members)
    return members[start:] + members[:start]


def _make_address(member: Member) -> GatewayAddress:
    assert member.caller_address is not None
    return GatewayAddress(
        host=member.host,
        address=member.caller_address,
        incarnation=member.incarnation,
        data_centre=member.data_centre,
    )

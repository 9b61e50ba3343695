"""Directory of known processes, by the names that the decision cores use."""

from collections.abc import Iterable

from attrs import define, field

from ..models.identifiers import DataCentreId, HostId, IncarnationId
from ..models.member import Member, MemberState, ProcessRole


def name_process(member: Member) -> HostId:
    """Return a name that is unique even if a host has a gateway and a controller."""
    if member.role is ProcessRole.GATEWAY:
        return member.host
    return HostId(f"{member.host}/{member.role.value}")


@define(eq=False)
class Directory:
    """The processes that are not gone, including this one."""

    own: IncarnationId
    _members: dict[HostId, Member] = field(factory=dict, init=False)
    _incarnations: dict[IncarnationId, Member] = field(factory=dict, init=False)

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace all entries."""
        known = [member for member in members if member.state is not MemberState.GONE]
        self._members = {name_process(member): member for member in known}
        self._incarnations = {member.incarnation: member for member in known}

    def find(self, process: HostId) -> Member | None:
        """Return a process by its name."""
        return self._members.get(process)

    def find_incarnation(self, incarnation: IncarnationId) -> Member | None:
        """Return a process by its incarnation."""
        return self._incarnations.get(incarnation)

    def list_all(self) -> tuple[Member, ...]:
        """Return all processes, ordered by name."""
        return tuple(member for _, member in sorted(self._members.items()))

    def list_others(self) -> tuple[Member, ...]:
        """Return all processes except this one."""
        return tuple(
            member
            for member in self._members.values()
            if member.incarnation != self.own
        )

    def list_live(self, role: ProcessRole) -> tuple[Member, ...]:
        """Return the live processes of a role, including this one."""
        return tuple(
            member
            for member in self._members.values()
            if member.role is role and member.state is MemberState.LIVE
        )

    def list_in_data_centre(self, data_centre: DataCentreId) -> tuple[Member, ...]:
        """Return the other processes of one data centre."""
        return tuple(
            member for member in self.list_others() if member.data_centre == data_centre
        )

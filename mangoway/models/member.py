"""Membership of processes in the system."""

from enum import Enum

from attrs import frozen

from .identifiers import ConfigVersion, DataCentreId, HostId, IncarnationId


class ProcessRole(Enum):
    """Role of a process."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class MemberState(Enum):
    """State of a process; a later one of the same incarnation takes precedence."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@frozen(order=True)
class Suspicion:
    """A failed check of a process, which a heartbeat after `beat` refutes."""

    beat: int
    """Upper bound of the heartbeats that the process had sent before the check."""

    is_refused: bool = False
    """Whether connections were refused; a process that is only silent may live."""


@frozen(kw_only=True)
class Member:
    """One process of the system."""

    host: HostId
    role: ProcessRole
    incarnation: IncarnationId
    started_at: float
    """Wall-clock start time; a later incarnation of a host replaces an earlier one."""

    data_centre: DataCentreId
    peer_address: str
    """IP address and port for other processes."""

    caller_address: str | None
    """IP address and port for callers; None for a controller."""

    state: MemberState = MemberState.LIVE
    beat: int = 0
    """Heartbeat counter, incremented only by the process itself."""

    config_version: ConfigVersion = ConfigVersion(0)
    ready: bool = False
    successor: IncarnationId | None = None
    """Incarnation that is responsible for this one's idempotency keys after it left."""

    suspicion: Suspicion | None = None

    @property
    def is_suspected(self) -> bool:
        """Return whether a check failed and no later heartbeat refuted it."""
        return self.suspicion is not None and self.suspicion.beat >= self.beat

    @property
    def is_refused(self) -> bool:
        """Return whether it is suspected since connections to it were refused."""
        if self.suspicion is None or not self.is_suspected:
            return False
        return self.suspicion.is_refused


@frozen(kw_only=True)
class GatewayAddress:
    """One gateway in an address response."""

    host: HostId
    address: str
    incarnation: IncarnationId
    data_centre: DataCentreId


@frozen(kw_only=True)
class AddressAnswer:
    """Gateways that callers should use, and the validity of this list."""

    gateways: tuple[GatewayAddress, ...]
    valid_for_s: float

"""Actions that the configuration core returns."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId
from ...models.offer import Configuration


@frozen(kw_only=True)
class ReadHead:
    """Read the head version from the key-value service; `HeadSeen` follows."""


@frozen(kw_only=True)
class FetchFromService:
    """Read one version from the key-value service."""

    version: ConfigVersion


@frozen(kw_only=True)
class FetchFromPeer:
    """Ask a peer for the version it has in force."""

    peer: HostId


@frozen(kw_only=True)
class PushToPeer:
    """Send the version in force to a peer that is behind."""

    peer: HostId
    configuration: Configuration


@frozen(kw_only=True)
class ApplyConfiguration:
    """Put a version in force in this process."""

    configuration: Configuration


@frozen(kw_only=True)
class WakeAt:
    """Send `Ticked` at this time (replaces any earlier one)."""

    time: float


ConfigurationAction = (
    ReadHead
    | FetchFromService
    | FetchFromPeer
    | PushToPeer
    | ApplyConfiguration
    | WakeAt
)

"""Actions that the configuration core returns."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId
from ...models.offer import Configuration


@frozen(kw_only=True)
class ReadHead:
    """Read the head version from the service; `HeadSeen` or `FetchFailed` follows."""


@frozen(kw_only=True)
class WatchHead:
    """Start or stop watching the head key; each change gives `HeadSeen`."""

    enabled: bool


@frozen(kw_only=True)
class FetchFromService:
    """Read this version or a newer one from the key-value service."""

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
    | WatchHead
    | FetchFromService
    | FetchFromPeer
    | PushToPeer
    | ApplyConfiguration
    | WakeAt
)

"""Actions that the configuration core returns."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId
from ...models.offer import Configuration


@frozen(kw_only=True)
class ReadHead:
    """Read the head version; `HeadVersionReceived` or `FetchFailed` follows."""


@frozen(kw_only=True)
class WatchHead:
    """Start or stop watching the head key; each change gives `HeadVersionReceived`."""

    enabled: bool


@frozen(kw_only=True)
class FetchFromService:
    """Fetch this version or a newer one from the key-value service."""

    version: ConfigVersion


@frozen(kw_only=True)
class FetchFromPeer:
    """Request the version that a peer has applied."""

    peer: HostId


@frozen(kw_only=True)
class PushToPeer:
    """Send the applied version to a peer with an older one."""

    peer: HostId
    configuration: Configuration


@frozen(kw_only=True)
class ApplyConfiguration:
    """Apply a version in this process."""

    configuration: Configuration


@frozen(kw_only=True)
class WakeAt:
    """Send the event `Ticked` at this time; replaces any earlier `WakeAt`."""

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

"""Events that the configuration core takes."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId
from ...models.offer import Configuration


@frozen(kw_only=True)
class HeadVersionReceived:
    """The key-value service showed the head version (watch or slow read)."""

    version: ConfigVersion


@frozen(kw_only=True)
class PeerAdvertised:
    """A peer's heartbeat said which version it has in force."""

    peer: HostId
    version: ConfigVersion


@frozen(kw_only=True)
class DocumentReceived:
    """A whole document arrived and was checked."""

    configuration: Configuration
    source: HostId | None
    """Peer that sent it; None for the key-value service."""


@frozen(kw_only=True)
class FetchFailed:
    """A read of the head (source None) or a fetch of a document got no answer."""

    source: HostId | None


@frozen(kw_only=True)
class PeersChanged:
    """The live peers, own host left out."""

    peers: tuple[HostId, ...]
    near: tuple[HostId, ...] = ()
    """Those of `peers` that are in the own data centre."""


@frozen(kw_only=True)
class Ticked:
    """Time passed; sent at the time of the last `WakeAt`, or later."""


ConfigurationEvent = (
    HeadVersionReceived
    | PeerAdvertised
    | DocumentReceived
    | FetchFailed
    | PeersChanged
    | Ticked
)

"""Events that the configuration core handles."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId
from ...models.offer import Configuration


@frozen(kw_only=True)
class HeadVersionReceived:
    """The key-value service returned the head version, by a watch or a read."""

    version: ConfigVersion


@frozen(kw_only=True)
class PeerAdvertised:
    """A heartbeat contained the version that a peer has applied."""

    peer: HostId
    version: ConfigVersion


@frozen(kw_only=True)
class DocumentReceived:
    """A complete document was received and validated."""

    configuration: Configuration
    source: HostId | None
    """Peer that sent it; None for the key-value service."""


@frozen(kw_only=True)
class FetchFailed:
    """A read of the head (source None) or a fetch of a document failed."""

    source: HostId | None


@frozen(kw_only=True)
class PeersChanged:
    """The live peers changed."""

    peers: tuple[HostId, ...]
    """All live peers, without the own host."""

    near: tuple[HostId, ...] = ()
    """Those of `peers` that are in the own data centre."""


@frozen(kw_only=True)
class Ticked:
    """The time of the last `WakeAt` has passed."""


ConfigurationEvent = (
    HeadVersionReceived
    | PeerAdvertised
    | DocumentReceived
    | FetchFailed
    | PeersChanged
    | Ticked
)

"""In-memory key-value service with the ledgers and the lease of the controllers."""

from attrs import define, field

from mangoway.models.identifiers import IncarnationId, Revision, UpstreamId
from mangoway.models.order import Ledger

from .const import LEASE_TTL_S


@define
class StoredLedger:
    """A ledger and the revision of its key."""

    ledger: Ledger | None = None
    revision: Revision = Revision(0)


@define
class LedgerStore:
    """Compare-and-swap on ledgers, and one lease; unavailable while `is_down`."""

    is_down: bool = False
    calls: int = 0
    _ledgers: dict[UpstreamId, StoredLedger] = field(factory=dict)
    _revision: int = 0
    _holder: IncarnationId | None = None
    _expires_at: float = 0.0

    def read(self, upstream_id: UpstreamId) -> StoredLedger:
        """Return the stored ledger of an upstream."""
        self.calls += 1
        return self._ledgers.get(upstream_id, StoredLedger())

    def write(self, ledger: Ledger, expected: Revision) -> StoredLedger | None:
        """Write a ledger; return None if its key has another revision."""
        self.calls += 1
        if self.read(ledger.upstream).revision != expected:
            return None
        self._revision += 1
        stored = StoredLedger(ledger, Revision(self._revision))
        self._ledgers[ledger.upstream] = stored
        return stored

    def renew_lease(self, owner: IncarnationId, now: float) -> bool:
        """Acquire or renew the lease; return False while another owner holds it."""
        self.calls += 1
        if self._holder not in (owner, None) and now < self._expires_at:
            return False
        self._holder = owner
        self._expires_at = now + LEASE_TTL_S
        return True

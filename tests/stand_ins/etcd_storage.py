"""Storage of the key-value stand-in: revisions, history and leases."""

import time
from collections import defaultdict
from collections.abc import Callable

from attrs import define, field

from mangoway.key_value.rpc_pb2 import Compare, Event, KeyValue, TxnRequest


@define
class StoredLease:
    """A lease with its expiry time."""

    ttl_s: int
    expires_at: float


@define
class EtcdStorage:
    """Keys with all their versions, and leases, as in the published interface."""

    clock: Callable[[], float] = time.monotonic
    revision: int = 1
    compacted: int = 0
    """Revision before which the versions of keys are compacted."""

    events: list[Event] = field(factory=list)
    leases: dict[int, StoredLease] = field(factory=dict)
    _versions: dict[bytes, list[KeyValue]] = field(factory=lambda: defaultdict(list))

    def range(self, key: bytes, end: bytes, revision: int = 0) -> list[KeyValue]:
        """Return the keys of a range at a revision; 0 stands for the current one.

        Args:
            key: First key of the range, or the only key.
            end: First key after the range; empty for a single key.
            revision: The revision.
        """
        self._expire_leases()
        names = [key]
        if end:
            names = sorted(name for name in self._versions if key <= name < end)
        found = (self._find(name, revision or self.revision) for name in names)
        return [kv for kv in found if kv is not None and kv.version]

    def _find(self, key: bytes, revision: int) -> KeyValue | None:
        """Return a key at a revision; one that was deleted by then has version 0."""
        versions = self._versions.get(key, ())
        return next(
            (kv for kv in reversed(versions) if kv.mod_revision <= revision), None
        )

    def compare(self, compares: list[Compare]) -> bool:
        """Return whether all comparisons of mod revisions are true."""
        self._expire_leases()
        for each in compares:
            assert each.target == Compare.MOD and each.result == Compare.EQUAL
            kv = self._find(each.key, self.revision)
            if (kv.mod_revision if kv and kv.version else 0) != each.mod_revision:
                return False
        return True

    def has_leases(self, request: TxnRequest) -> bool:
        """Return whether all leases that a transaction attaches keys to exist."""
        self._expire_leases()
        lease_ids = {op.request_put.lease for op in request.success} - {0}
        return lease_ids <= set(self.leases)

    def write(self, request: TxnRequest) -> None:
        """Execute the writes of a transaction at one new revision."""
        self.revision += 1
        for op in request.success:
            if op.HasField("request_put"):
                put = op.request_put
                self._put(put.key, put.value, put.lease)
            else:
                self._delete(op.request_delete_range.key)

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        old = self._find(key, self.revision)
        exists = old is not None and old.version > 0
        kv = KeyValue(
            key=key,
            value=value,
            lease=lease,
            mod_revision=self.revision,
            create_revision=old.create_revision if exists else self.revision,
            version=old.version + 1 if exists else 1,
        )
        self._versions[key].append(kv)
        self.events.append(Event(type=Event.PUT, kv=kv))

    def _delete(self, key: bytes) -> None:
        kv = KeyValue(key=key, mod_revision=self.revision)
        self._versions[key].append(kv)
        self.events.append(Event(type=Event.DELETE, kv=kv))

    def grant(self, number: int, ttl_s: int) -> None:
        """Grant a lease."""
        self.leases[number] = StoredLease(ttl_s, self.clock() + ttl_s)

    def keep_alive(self, number: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        self._expire_leases()
        lease = self.leases.get(number)
        if lease is None:
            return 0
        lease.expires_at = self.clock() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, number: int) -> None:
        """Remove a lease and delete its keys."""
        self.leases.pop(number, None)
        lease_keys = [
            key
            for key in self._versions
            if (kv := self._find(key, self.revision))
            and kv.version
            and kv.lease == number
        ]
        self.revision += bool(lease_keys)
        for key in lease_keys:
            self._delete(key)

    def _expire_leases(self) -> None:
        now = self.clock()
        for number, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                self.revoke(number)

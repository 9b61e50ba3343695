"""Records of idempotency keys of non-idempotent requests.

A request with a homed key (`<incarnation>:<issue time>:<own id>`) runs only at the
incarnation that the key names (its home), or at the successor that took over the
home's records. A record is kept for the retention time, counted from the key's issue
time. Afterwards the key is rejected as expired, so dropping the record can't lead to a
second run. A plain key is claimed in the key-value service before its request runs;
its record only serves resubmissions to the same gateway.

At the capacity limit new keys are rejected with the verdict "not run". Records are
never dropped early.
"""

from attrs import define, field, frozen

from ...models.errors import ErrorCode, Failure
from ...models.idempotency import HomedKey
from ...models.identifiers import CallerId, IdempotencyKey, IncarnationId, RequestId
from ...models.request import Request
from ...models.verdict import Verdict
from .const import (
    ADOPTED_KEY_MAX_AGE_S,
    KEY_CLOCK_SKEW_S,
    KEY_LENGTH_MAX,
    KEY_RETENTION_MIN_S,
    RETRY_AFTER_MIN_S,
)
from .events import KeyRecord
from .homes import Homes
from .tracked_keys import KeyState, TrackedKey


@frozen(kw_only=True)
class RunKey:
    """The request may run after `KeyTable.open`."""

    tracked_key: TrackedKey | None = None
    """Record of an earlier claim; None for a new key."""

    needs_claim: bool = False


@frozen(kw_only=True)
class JoinKey:
    """A request with the same key is in progress."""

    leader: RequestId


@frozen(kw_only=True)
class ReplayKey:
    """The key's answer is stored."""

    answer_id: RequestId


@frozen(kw_only=True)
class ForwardKey:
    """Another process is responsible for the key."""

    home: IncarnationId


@frozen(kw_only=True)
class RejectKey:
    """The request is rejected."""

    failure: Failure


KeyDecision = RunKey | JoinKey | ReplayKey | ForwardKey | RejectKey


@define(eq=False)
class KeyTable:
    """All key records of one process."""

    identity: IncarnationId
    homes: Homes
    clock_offset_s: float
    retention_s: float = KEY_RETENTION_MIN_S
    capacity: int = 0
    closed: bool = False
    """Whether the records were handed over; no new key runs afterwards."""

    _records: dict[tuple[CallerId, IdempotencyKey], TrackedKey] = field(factory=dict)
    _expired_until: float = float("-inf")
    """Issue time up to which keys stay expired, even if the retention increases."""

    _partly_adopted: set[IncarnationId] = field(factory=set)
    """Homes whose records did not all fit into the table."""

    def __len__(self) -> int:
        return len(self._records)

    def configure(self, retention_s: float, capacity: int, now: float) -> None:
        """Apply a new configuration."""
        self._expired_until = max(self._expired_until, now - self.retention_s)
        self.retention_s = max(KEY_RETENTION_MIN_S, retention_s)
        self.capacity = capacity

    def resolve(self, request: Request, now: float) -> KeyDecision:
        """Decide how to handle a non-idempotent request with a key."""
        key = request.key
        if key is None or len(key) > KEY_LENGTH_MAX:
            return _reject(
                ErrorCode.MALFORMED_REQUEST, "the idempotency key is too long"
            )
        tracked = self._records.get((request.caller, key))
        if tracked is not None:
            return self._resolve_tracked(tracked, request)
        if request.key_home is None:
            return RunKey(needs_claim=True)
        return self._resolve_homed(key, request.key_home, now)

    def is_full(self) -> bool:
        """Return whether there is no room for a new record."""
        return len(self._records) >= self.capacity

    def estimate_room_wait_s(self, now: float) -> float:
        """Return the approximate time until the oldest record is dropped."""
        for tracked in self._records.values():
            return max(RETRY_AFTER_MIN_S, self.compute_drop_time(tracked) - now)
        return RETRY_AFTER_MIN_S

    def open(self, request: Request, decision: RunKey, now: float) -> TrackedKey:
        """Record that a request with a key is in progress."""
        tracked = decision.tracked_key
        if tracked is None:
            tracked = self._create(request, now)
        tracked.state = KeyState.OPEN
        tracked.leader = request.id
        tracked.failure = None
        return tracked

    def finish(self, tracked: TrackedKey) -> None:
        """Record that the answer is complete and stored under the leader's id."""
        tracked.state = KeyState.DONE
        tracked.answer_id = tracked.leader
        tracked.leader = None

    def fail(self, tracked: TrackedKey, failure: Failure) -> None:
        """Record a failure; a key that certainly did not run may run again."""
        tracked.leader = None
        if failure.verdict is not Verdict.NOT_RUN:
            tracked.state = KeyState.FAILED
            tracked.failure = failure
            return
        tracked.state = KeyState.FREE
        if self._is_droppable(tracked):
            self.drop(tracked)

    def record_claim(self, tracked: TrackedKey, claimed: bool) -> None:
        """Record the outcome of a claim."""
        tracked.claiming -= 1
        tracked.claimed = tracked.claimed or claimed
        if tracked.leader is None and self._is_droppable(tracked):
            self.drop(tracked)

    def contains(self, tracked: TrackedKey) -> bool:
        """Return whether the table still contains a record."""
        return self._records.get((tracked.caller, tracked.key)) is tracked

    def drop(self, tracked: TrackedKey) -> None:
        """Remove a record."""
        self._records.pop((tracked.caller, tracked.key), None)

    def compute_drop_time(self, tracked: TrackedKey) -> float:
        """Return the time at which a record may be dropped, if no request uses it."""
        return tracked.issued_at + self.retention_s + KEY_CLOCK_SKEW_S

    def export(self) -> tuple[KeyRecord, ...]:
        """Close the table and return all records for the successor.

        The home must name a single successor and never change it. Requests that are
        still in progress are exported with the verdict "may have run".
        """
        self.closed = True
        return tuple(self._export_record(tracked) for tracked in self._records.values())

    def adopt(
        self, home: IncarnationId, keys: tuple[KeyRecord, ...]
    ) -> list[TrackedKey]:
        """Add the records of a home that leaves; return the new ones."""
        new = [record for record in keys if self._is_new(record)]
        room = max(0, 2 * self.capacity - len(self._records))
        if len(new) > room:
            self._partly_adopted.add(home)
        return [self._adopt_record(record) for record in new[:room]]

    def finish_adoption(self, home: IncarnationId, now: float) -> None:
        """Take responsibility for a home, if all its records were added.

        If they did not all fit, no key of the home without a record ever runs.
        """
        if home not in self._partly_adopted:
            self.homes.adopt(home, now)
        self._partly_adopted.discard(home)

    def uses_answer(self, record: KeyRecord) -> bool:
        """Return whether resubmissions get the answer that an exported record names."""
        tracked = self._records.get((record.caller, record.key))
        return tracked is not None and tracked.answer_id == record.answer_id

    @staticmethod
    def _is_droppable(tracked: TrackedKey) -> bool:
        free = tracked.state is KeyState.FREE
        return free and not tracked.claimed and not tracked.claiming

    def _resolve_tracked(self, tracked: TrackedKey, request: Request) -> KeyDecision:
        if tracked.fingerprint != request.fingerprint:
            detail = "the idempotency key was used for a different request"
            return _reject(ErrorCode.KEY_REUSED, detail)
        if tracked.leader is not None:
            return JoinKey(leader=tracked.leader)
        if tracked.answer_id is not None:
            return ReplayKey(answer_id=tracked.answer_id)
        if tracked.failure is not None:
            return RejectKey(failure=tracked.failure)
        return RunKey(
            tracked_key=tracked, needs_claim=not tracked.homed and not tracked.claimed
        )

    def _resolve_homed(
        self, text: IdempotencyKey, home: IncarnationId, now: float
    ) -> KeyDecision:
        key = _parse_homed(text, home)
        if key is None:
            detail = "a homed key has the form <incarnation>:<unix seconds>:<own id>"
            return _reject(ErrorCode.MALFORMED_REQUEST, detail)
        adopted_at = self.homes.find_adoption_time(home)
        # The home repeats a hand-over to another gateway if the reply was lost, so
        # having its records is not enough: it must have named this process.
        named = self.homes.find_current_home(home) == self.identity
        if home != self.identity and (adopted_at is None or not named):
            return self._find_home(home)
        if self.closed:
            # The successor may have run it, so the verdict can't be "not run".
            return _reject_gone(home)
        issued_at = key.issued_at - self.clock_offset_s
        if issued_at <= max(now - self.retention_s, self._expired_until):
            detail = "the key is older than the retention time"
            return _reject(ErrorCode.KEY_EXPIRED, detail, Verdict.MAY_HAVE_RUN)
        if issued_at > now + KEY_CLOCK_SKEW_S:
            detail = "the key's issue time is in the future"
            return _reject(ErrorCode.MALFORMED_REQUEST, detail)
        if adopted_at is not None and issued_at < adopted_at - ADOPTED_KEY_MAX_AGE_S:
            return _reject_gone(home)
        return RunKey()

    def _find_home(self, home: IncarnationId) -> KeyDecision:
        answering = self.homes.find_current_home(home)
        if answering is None or answering == self.identity:
            return _reject_gone(home)
        return ForwardKey(home=answering)

    def _create(self, request: Request, now: float) -> TrackedKey:
        key = IdempotencyKey(request.key or "")
        homed = request.key_home is not None
        issued_at = now
        if homed:
            issued_at = HomedKey.parse(key).issued_at - self.clock_offset_s
        tracked = TrackedKey(request.caller, key, request.fingerprint, issued_at, homed)
        self._records[request.caller, key] = tracked
        return tracked

    def _is_new(self, record: KeyRecord) -> bool:
        tracked = self._records.get((record.caller, record.key))
        if tracked is None:
            return True
        # A repeated hand-over may hold the answer to a request that was in progress.
        return tracked.state is KeyState.FAILED and record.verdict is None

    def _adopt_record(self, record: KeyRecord) -> TrackedKey:
        homed = _is_homed(record.key)
        expires_at = record.expires_at - self.clock_offset_s
        tracked = TrackedKey(
            record.caller,
            record.key,
            record.fingerprint,
            expires_at - self.retention_s - KEY_CLOCK_SKEW_S,
            homed,
            state=KeyState.FAILED,
            answer_id=record.answer_id,
        )
        if record.verdict is None and record.answer_id is not None:
            tracked.state = KeyState.DONE
        else:
            verdict = record.verdict or Verdict.RAN
            tracked.answer_id = None
            tracked.failure = Failure(
                code=ErrorCode.KEY_HOME_GONE,
                verdict=verdict,
                detail="the gateway that ran the request with this key has left",
            )
        self._records[record.caller, record.key] = tracked
        return tracked

    def _export_record(self, tracked: TrackedKey) -> KeyRecord:
        verdict: Verdict | None = Verdict.MAY_HAVE_RUN
        if tracked.state is KeyState.DONE:
            verdict = None
        elif tracked.failure is not None:
            verdict = tracked.failure.verdict
        return KeyRecord(
            key=tracked.key,
            caller=tracked.caller,
            fingerprint=tracked.fingerprint,
            expires_at=self.compute_drop_time(tracked) + self.clock_offset_s,
            verdict=verdict,
            answer_id=tracked.answer_id,
        )


def _parse_homed(text: IdempotencyKey, home: IncarnationId) -> HomedKey | None:
    try:
        key = HomedKey.parse(text)
    except ValueError:
        return None
    return key if key.home == home else None


def _is_homed(text: IdempotencyKey) -> bool:
    try:
        HomedKey.parse(text)
    except ValueError:
        return False
    return True


def _reject(
    code: ErrorCode, detail: str, verdict: Verdict = Verdict.NOT_RUN
) -> RejectKey:
    return RejectKey(failure=Failure(code=code, verdict=verdict, detail=detail))


def _reject_gone(home: IncarnationId) -> RejectKey:
    detail = f"the key's home {home} is gone or did not hand over its record"
    return _reject(ErrorCode.KEY_HOME_GONE, detail, Verdict.MAY_HAVE_RUN)

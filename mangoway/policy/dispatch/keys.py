"""Records of idempotency keys of non-idempotent requests.

A homed key (`<incarnation>:<issue time>:<own id>`) is run only by the incarnation
that it names, or by the successor that took over its records. A record is kept
until the retention time after the key's issue time has passed; from then on the
key is refused as expired, so a record that was dropped can't lead to a second run.
A plain key is claimed in the key-value service before it runs; the record here only
serves resubmissions to the same gateway.

At the capacity bound new keys are refused as not run. Records are never dropped
before their time.
"""

from attrs import define, field, frozen

from ...models.errors import ErrorCode, Failure
from ...models.idempotency import HomedKey
from ...models.identifiers import CallerId, IdempotencyKey, IncarnationId, RequestId
from ...models.request import Request
from ...models.verdict import Verdict
from .const import (
    KEY_ADOPTED_FRESH_S,
    KEY_CLOCK_SKEW_S,
    KEY_LENGTH_MAX,
    KEY_RETENTION_MIN_S,
    RETRY_AFTER_MIN_S,
)
from .events import KeyRecord
from .held_keys import HeldKey, KeyState
from .homes import Homes


@frozen(kw_only=True)
class RunKey:
    """The request may run once its record is open."""

    held: HeldKey | None = None
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
    """Another process answers for the key."""

    home: IncarnationId


@frozen(kw_only=True)
class RefuseKey:
    """The request is answered with a failure."""

    failure: Failure


KeyDecision = RunKey | JoinKey | ReplayKey | ForwardKey | RefuseKey


@define(eq=False)
class KeyTable:
    """All records of one process."""

    identity: IncarnationId
    homes: Homes
    clock_offset_s: float
    retention_s: float = KEY_RETENTION_MIN_S
    capacity: int = 0
    closed: bool = False
    """Set once the records were handed over; from then on no new key is run."""

    _records: dict[tuple[CallerId, IdempotencyKey], HeldKey] = field(factory=dict)
    _expired_until: float = float("-inf")
    """Issue time up to which keys stay expired, whatever the retention becomes."""

    _partly_adopted: set[IncarnationId] = field(factory=set)
    """Homes that hand over more records than there is room for."""

    def __len__(self) -> int:
        return len(self._records)

    def configure(self, retention_s: float, capacity: int, now: float) -> None:
        """Follow a new configuration."""
        self._expired_until = max(self._expired_until, now - self.retention_s)
        self.retention_s = max(KEY_RETENTION_MIN_S, retention_s)
        self.capacity = capacity

    def resolve(self, request: Request, now: float) -> KeyDecision:
        """Decide what a non-idempotent request with a key may do."""
        key = request.key
        if key is None or len(key) > KEY_LENGTH_MAX:
            return _refuse(ErrorCode.MALFORMED_REQUEST, "idempotency key is too long")
        held = self._records.get((request.caller, key))
        if held is not None:
            return self._resolve_held(held, request)
        if request.key_home is None:
            return RunKey(needs_claim=True)
        return self._resolve_homed(key, request.key_home, now)

    def is_full(self) -> bool:
        """Return whether no new record may be opened."""
        return len(self._records) >= self.capacity

    def find_room_in_s(self, now: float) -> float:
        """Return about how long it takes until the oldest record is dropped."""
        for held in self._records.values():
            return max(RETRY_AFTER_MIN_S, self.find_drop_time(held) - now)
        return RETRY_AFTER_MIN_S

    def open(self, request: Request, decision: RunKey, now: float) -> HeldKey:
        """Record that a request with a key is in progress."""
        held = decision.held
        if held is None:
            held = self._create(request, now)
        held.state = KeyState.OPEN
        held.leader = request.id
        held.failure = None
        return held

    def finish(self, held: HeldKey) -> None:
        """Record that the answer is whole and kept under the leader's id."""
        held.state = KeyState.DONE
        held.answer_id = held.leader
        held.leader = None

    def fail(self, held: HeldKey, failure: Failure) -> None:
        """Record a failure; a key that certainly did not run may run again."""
        held.leader = None
        if failure.verdict is not Verdict.NOT_RUN:
            held.state = KeyState.FAILED
            held.failure = failure
            return
        held.state = KeyState.FREE
        if self._is_droppable(held):
            self.drop(held)

    def end_claim(self, held: HeldKey, claimed: bool) -> None:
        """Take the outcome of a claim."""
        held.claiming -= 1
        held.claimed = held.claimed or claimed
        if held.leader is None and self._is_droppable(held):
            self.drop(held)

    def holds(self, held: HeldKey) -> bool:
        """Return whether a record is still kept."""
        return self._records.get((held.caller, held.key)) is held

    def drop(self, held: HeldKey) -> None:
        """Forget a record."""
        self._records.pop((held.caller, held.key), None)

    def find_drop_time(self, held: HeldKey) -> float:
        """Return when a record may be dropped, if nothing is in progress then."""
        return held.issued_at + self.retention_s + KEY_CLOCK_SKEW_S

    def export(self) -> tuple[KeyRecord, ...]:
        """Close the table and return all records for the successor.

        The home may name one successor only, and never another later. What is still
        in progress is handed over as "may have run".
        """
        self.closed = True
        return tuple(self._export_one(held) for held in self._records.values())

    def adopt(self, home: IncarnationId, keys: tuple[KeyRecord, ...]) -> list[HeldKey]:
        """Take over records of a home that leaves; return the new ones."""
        new = [record for record in keys if self._is_news(record)]
        room = max(0, 2 * self.capacity - len(self._records))
        if len(new) > room:
            self._partly_adopted.add(home)
        return [self._adopt_one(record) for record in new[:room]]

    def end_adoption(self, home: IncarnationId, now: float) -> None:
        """Answer for a home from now on, if all its records were taken over.

        Where they didn't fit, keys without a record are never run.
        """
        if home not in self._partly_adopted:
            self.homes.adopt(home, now)
        self._partly_adopted.discard(home)

    def answers_from(self, record: KeyRecord) -> bool:
        """Return whether resubmissions get the answer that a record names."""
        held = self._records.get((record.caller, record.key))
        return held is not None and held.answer_id == record.answer_id

    @staticmethod
    def _is_droppable(held: HeldKey) -> bool:
        free = held.state is KeyState.FREE
        return free and not held.claimed and not held.claiming

    def _resolve_held(self, held: HeldKey, request: Request) -> KeyDecision:
        if held.fingerprint != request.fingerprint:
            detail = "the key belongs to a different request"
            return _refuse(ErrorCode.KEY_REUSED, detail)
        if held.leader is not None:
            return JoinKey(leader=held.leader)
        if held.answer_id is not None:
            return ReplayKey(answer_id=held.answer_id)
        if held.failure is not None:
            return RefuseKey(failure=held.failure)
        return RunKey(held=held, needs_claim=not held.homed and not held.claimed)

    def _resolve_homed(
        self, text: IdempotencyKey, home: IncarnationId, now: float
    ) -> KeyDecision:
        key = _parse(text, home)
        if key is None:
            detail = "a homed key is <incarnation>:<unix seconds>:<own id>"
            return _refuse(ErrorCode.MALFORMED_REQUEST, detail)
        adopted_at = self.homes.find_adoption_time(home)
        # A hand-over whose answer was lost may have been repeated to another gateway,
        # so taking the records is not enough: the home must have named this one.
        named = self.homes.find_answering(home) == self.identity
        if home != self.identity and (adopted_at is None or not named):
            return self._find_home(home)
        if self.closed:
            # The successor may have run it by now, so "not run" would be wrong.
            return _refuse_gone(home)
        issued_at = key.issued_at - self.clock_offset_s
        if issued_at <= max(now - self.retention_s, self._expired_until):
            detail = "the key is older than records are kept"
            return _refuse(ErrorCode.KEY_EXPIRED, detail, Verdict.MAY_HAVE_RUN)
        if issued_at > now + KEY_CLOCK_SKEW_S:
            detail = "the key's issue time is in the future"
            return _refuse(ErrorCode.MALFORMED_REQUEST, detail)
        if adopted_at is not None and issued_at < adopted_at - KEY_ADOPTED_FRESH_S:
            return _refuse_gone(home)
        return RunKey()

    def _find_home(self, home: IncarnationId) -> KeyDecision:
        answering = self.homes.find_answering(home)
        if answering is None or answering == self.identity:
            return _refuse_gone(home)
        return ForwardKey(home=answering)

    def _create(self, request: Request, now: float) -> HeldKey:
        key = IdempotencyKey(request.key or "")
        homed = request.key_home is not None
        issued_at = now
        if homed:
            issued_at = HomedKey.parse(key).issued_at - self.clock_offset_s
        held = HeldKey(request.caller, key, request.fingerprint, issued_at, homed)
        self._records[request.caller, key] = held
        return held

    def _is_news(self, record: KeyRecord) -> bool:
        held = self._records.get((record.caller, record.key))
        if held is None:
            return True
        # A later hand-over may bring the answer of what was in progress at the first.
        return held.state is KeyState.FAILED and record.verdict is None

    def _adopt_one(self, record: KeyRecord) -> HeldKey:
        homed = _is_homed(record.key)
        expires_at = record.expires_at - self.clock_offset_s
        held = HeldKey(
            record.caller,
            record.key,
            record.fingerprint,
            expires_at - self.retention_s - KEY_CLOCK_SKEW_S,
            homed,
            state=KeyState.FAILED,
            answer_id=record.answer_id,
        )
        if record.verdict is None and record.answer_id is not None:
            held.state = KeyState.DONE
        else:
            verdict = record.verdict or Verdict.RAN
            held.answer_id = None
            held.failure = Failure(
                code=ErrorCode.KEY_HOME_GONE,
                verdict=verdict,
                detail="the process that ran the key has left",
            )
        self._records[record.caller, record.key] = held
        return held

    def _export_one(self, held: HeldKey) -> KeyRecord:
        verdict: Verdict | None = Verdict.MAY_HAVE_RUN
        if held.state is KeyState.DONE:
            verdict = None
        elif held.failure is not None:
            verdict = held.failure.verdict
        return KeyRecord(
            key=held.key,
            caller=held.caller,
            fingerprint=held.fingerprint,
            expires_at=self.find_drop_time(held) + self.clock_offset_s,
            verdict=verdict,
            answer_id=held.answer_id,
        )


def _parse(text: IdempotencyKey, home: IncarnationId) -> HomedKey | None:
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


def _refuse(
    code: ErrorCode, detail: str, verdict: Verdict = Verdict.NOT_RUN
) -> RefuseKey:
    return RefuseKey(failure=Failure(code=code, verdict=verdict, detail=detail))


def _refuse_gone(home: IncarnationId) -> RefuseKey:
    detail = f"the key's home {home} is gone, or its record was not handed over"
    return _refuse(ErrorCode.KEY_HOME_GONE, detail, Verdict.MAY_HAVE_RUN)

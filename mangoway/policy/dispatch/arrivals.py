"""Handling of new requests: keys, rate limits and admission, in this order."""

from attrs import define, field

from ...models.errors import ErrorCode, Failure
from ...models.identifiers import RequestId
from ...models.offer import CallerOffer
from ...models.request import Request
from ...models.verdict import Verdict
from .actions import ClaimKey, ForwardToHome, ForwardToPeer, ReplayAnswer
from .admission import Admission, check_request_offered
from .const import WEIGHT_MIN
from .context import Context
from .entries import Entry, EntryState
from .events import ClaimOutcome, KeyClaimed
from .keys import ForwardKey, JoinKey, KeyTable, RejectKey, ReplayKey, RunKey
from .limits import CallerLimits, TokenBucket
from .requests import Requests
from .scheduler import Scheduler
from .tracked_keys import TrackedKey

DEFAULT_OFFER = CallerOffer()


@define(eq=False)
class ArrivalHandler:
    """Handler of new requests.

    Keys are resolved first: a resubmission whose first submission may have run must
    get the answer or verdict of that one, not a rejection with the verdict "not run".
    """

    context: Context
    keys: KeyTable
    requests: Requests
    admission: Admission
    scheduler: Scheduler
    limits: CallerLimits = field(factory=CallerLimits)
    claims: TokenBucket = field(factory=lambda: TokenBucket(1.0, 1.0, 0.0))
    stopped_at: float | None = None
    """Time of the planned stop; None while the gateway accepts new requests."""

    _claiming: dict[RequestId, TrackedKey] = field(factory=dict)

    def handle(self, request: Request) -> None:
        """Admit a request, forward it or reject it."""
        if self.requests.is_known(request.id):
            return
        run = self._resolve_key(request)
        if run is None:
            return
        configuration = self.context.configuration
        if configuration is None:
            self._reject(
                request,
                ErrorCode.NOT_READY,
                "no configuration has been received yet",
                1.0,
            )
            return
        if self._redirect(request):
            return
        failure = check_request_offered(request, configuration)
        if failure is not None:
            self.requests.reject_arrival(request, failure)
            return
        self._admit(request, run)

    def _resolve_key(self, request: Request) -> RunKey | None:
        """Return how a request may run; None if its key has already decided it."""
        # An idempotent request may run twice, so its key needs no record.
        if request.idempotent or request.key is None:
            return RunKey()
        decision = self.keys.resolve(request, self.context.now)
        match decision:
            case RunKey():
                return decision
            case JoinKey(leader=leader):
                self.requests.join(request, leader)
            case ReplayKey(answer_id=answer_id):
                action = ReplayAnswer(request_id=request.id, answer_id=answer_id)
                self.context.emit(action)
            case ForwardKey(home=home):
                self.context.emit(ForwardToHome(request_id=request.id, home=home))
            case RejectKey(failure=failure):
                self.requests.reject_arrival(request, failure)
        return None

    def _redirect(self, request: Request) -> bool:
        """Return whether a stopping gateway forwarded or rejected a new request."""
        configuration = self.context.configuration
        homed = not request.idempotent and request.key_home is not None
        if self.stopped_at is None or configuration is None:
            return False
        age = self.context.now - self.stopped_at
        if age > configuration.site.address_validity_s:
            self._reject(request, ErrorCode.LEAVING, "this gateway is stopping", 0.0)
            return True
        if homed:
            # Only the key's home may run it, and callers may still use this home.
            return False
        self.context.emit(ForwardToPeer(request_id=request.id))
        return True

    def _admit(self, request: Request, run: RunKey) -> None:
        now = self.context.now
        self.context.demand.count_arrival(request)
        wait = self.limits.try_acquire(request.caller, now)
        if wait > 0.0:
            detail = f"caller {request.caller} exceeds its rate limit"
            self._reject(request, ErrorCode.CALLER_LIMIT, detail, wait)
            return
        entry = Entry(request, self._find_weight(request))
        self.scheduler.update_times(entry)
        obstacle = self.admission.check(entry, now)
        if obstacle is not None:
            self.context.demand.count_rejection(request)
            self.requests.reject_arrival(request, obstacle)
            return
        if not self._open_key(entry, run):
            return
        self.requests.add(entry)
        if run.needs_claim:
            self._claim(entry)
            return
        self.scheduler.submit(entry)

    def _open_key(self, entry: Entry, run: RunKey) -> bool:
        """Open the record of a request's key; return whether the request may go on."""
        request = entry.request
        if request.idempotent or request.key is None:
            return True
        now = self.context.now
        if run.tracked_key is None and self.keys.is_full():
            wait = self.keys.estimate_room_wait_s(now)
            detail = "the table of idempotency keys is full"
            self._reject(request, ErrorCode.OVERLOADED, detail, wait)
            return False
        if run.needs_claim:
            wait = self.claims.try_acquire(now)
            if wait > 0.0:
                detail = "the rate limit for claims of idempotency keys is exceeded"
                self._reject(request, ErrorCode.KEY_CLAIM_UNAVAILABLE, detail, wait)
                return False
        entry.tracked_key = self.keys.open(request, run, now)
        return True

    def _claim(self, entry: Entry) -> None:
        request = entry.request
        tracked = entry.tracked_key
        if tracked is None:
            return
        tracked.claiming += 1
        self._claiming[request.id] = tracked
        entry.state = EntryState.CLAIMING
        self.scheduler.set_timer(entry, entry.latest_start)
        self.context.emit(ClaimKey(request_id=request.id, key=tracked.key))

    def handle_claim(self, event: KeyClaimed) -> None:
        """Start or reject a request whose claim has ended."""
        tracked = self._claiming.pop(event.request_id, None)
        if tracked is None:
            return
        entry = self.requests.entries.get(event.request_id)
        self.keys.record_claim(tracked, event.outcome == ClaimOutcome.CLAIMED)
        if entry is None or entry.state is not EntryState.CLAIMING:
            return
        if tracked.claimed:
            self.scheduler.submit(entry)
            return
        self.requests.reject(entry, self._make_claim_failure(event.outcome))
        # The claim in the key-value service is authoritative, so the record here would
        # only take room.
        if not tracked.claiming:
            self.keys.drop(tracked)

    def _make_claim_failure(self, outcome: str) -> Failure:
        if outcome == ClaimOutcome.TAKEN:
            return Failure(
                code=ErrorCode.KEY_ALREADY_CLAIMED,
                verdict=Verdict.MAY_HAVE_RUN,
                detail="another gateway has claimed the key",
            )
        if outcome == ClaimOutcome.UNSETTLED:
            return Failure(
                code=ErrorCode.KEY_CLAIM_UNAVAILABLE,
                verdict=Verdict.MAY_HAVE_RUN,
                detail="the key-value service did not confirm the claim of the key",
            )
        return Failure(
            code=ErrorCode.KEY_CLAIM_UNAVAILABLE,
            verdict=Verdict.NOT_RUN,
            detail="the key could not be claimed",
            retry_after=self.admission.compute_retry_after(1.0),
        )

    def _find_weight(self, request: Request) -> float:
        configuration = self.context.configuration
        if configuration is None:
            return DEFAULT_OFFER.weight
        offer = configuration.callers.get(request.caller, DEFAULT_OFFER)
        return max(WEIGHT_MIN, offer.weight)

    def _reject(
        self, request: Request, code: ErrorCode, detail: str, retry_after: float
    ) -> None:
        failure = Failure(
            code=code,
            verdict=Verdict.NOT_RUN,
            detail=detail,
            retry_after=retry_after,
        )
        self.requests.reject_arrival(request, failure)

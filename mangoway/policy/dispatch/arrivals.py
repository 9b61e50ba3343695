"""Arrivals: keys, limits and admission, in this order."""

from attrs import define, field

from ...models.errors import ErrorCode, Failure
from ...models.identifiers import RequestId
from ...models.offer import CallerOffer
from ...models.request import Request
from ...models.verdict import Verdict
from .actions import ClaimKey, ForwardToHome, ForwardToPeer, ReplayAnswer
from .admission import Admission, find_fault
from .const import WEIGHT_MIN
from .context import Context
from .entries import Entry, EntryState
from .events import ClaimOutcome, KeyClaimed
from .held_keys import HeldKey
from .keys import ForwardKey, JoinKey, KeyTable, RefuseKey, ReplayKey, RunKey
from .limits import CallerLimits, TokenBucket
from .requests import Requests
from .scheduler import Scheduler

DEFAULT_OFFER = CallerOffer()


@define(eq=False)
class Arrivals:
    """Decides about each arrival.

    Keys come first: a resubmission whose first try may have run must get that
    answer or verdict, not a refusal that says this arrival did not run.
    """

    context: Context
    keys: KeyTable
    requests: Requests
    admission: Admission
    scheduler: Scheduler
    limits: CallerLimits = field(factory=CallerLimits)
    claims: TokenBucket = field(factory=lambda: TokenBucket(1.0, 1.0, 0.0))
    stopped_at: float | None = None
    """Time of the planned stop; None while the gateway takes new requests."""

    _claiming: dict[RequestId, HeldKey] = field(factory=dict)

    def take(self, request: Request) -> None:
        """Take a request in, or end it at once."""
        if self.requests.is_known(request.id):
            return
        run = self._resolve_key(request)
        if run is None:
            return
        configuration = self.context.configuration
        if configuration is None:
            self._refuse(request, ErrorCode.NOT_READY, "no configuration yet", 1.0)
            return
        if self._redirect(request):
            return
        fault = find_fault(request, configuration)
        if fault is not None:
            self.requests.refuse_arrival(request, fault)
            return
        self._admit(request, run)

    def _resolve_key(self, request: Request) -> RunKey | None:
        """Return how a request may run; None if that was decided otherwise."""
        # A request that may run twice needs no record.
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
            case RefuseKey(failure=failure):
                self.requests.refuse_arrival(request, failure)
        return None

    def _redirect(self, request: Request) -> bool:
        """Send a new request elsewhere if this gateway leaves."""
        configuration = self.context.configuration
        homed = not request.idempotent and request.key_home is not None
        if self.stopped_at is None or configuration is None:
            return False
        age = self.context.now - self.stopped_at
        if age > configuration.site.address_validity_s:
            self._refuse(request, ErrorCode.LEAVING, "this gateway leaves", 0.0)
            return True
        if homed:
            # No other gateway may run it, and callers may still name this home.
            return False
        self.context.emit(ForwardToPeer(request_id=request.id))
        return True

    def _admit(self, request: Request, run: RunKey) -> None:
        now = self.context.now
        self.context.demand.count_arrival(request)
        wait = self.limits.take(request.caller, now)
        if wait > 0.0:
            detail = f"caller {request.caller} is over its rate"
            self._refuse(request, ErrorCode.CALLER_LIMIT, detail, wait)
            return
        entry = Entry(request, self._find_weight(request))
        self.scheduler.update_times(entry)
        obstacle = self.admission.find_obstacle(entry, now)
        if obstacle is not None:
            self.context.demand.count_refusal(request)
            self.requests.refuse_arrival(request, obstacle)
            return
        if not self._open_key(entry, run):
            return
        self.requests.add(entry)
        if run.needs_claim:
            self._claim(entry)
            return
        self.scheduler.submit(entry)

    def _open_key(self, entry: Entry, run: RunKey) -> bool:
        request = entry.request
        if request.idempotent or request.key is None:
            return True
        now = self.context.now
        if run.held is None and self.keys.is_full():
            wait = self.keys.find_room_in_s(now)
            detail = "no room for another idempotency key"
            self._refuse(request, ErrorCode.OVERLOADED, detail, wait)
            return False
        if run.needs_claim:
            wait = self.claims.take(now)
            if wait > 0.0:
                detail = "claims are over their write budget"
                self._refuse(request, ErrorCode.KEY_CLAIM_UNAVAILABLE, detail, wait)
                return False
        entry.held = self.keys.open(request, run, now)
        return True

    def _claim(self, entry: Entry) -> None:
        request = entry.request
        held = entry.held
        if held is None:
            return
        held.claiming += 1
        self._claiming[request.id] = held
        entry.state = EntryState.CLAIMING
        self.scheduler.set_timer(entry, entry.latest_start)
        self.context.emit(ClaimKey(request_id=request.id, key=held.key))

    def end_claim(self, event: KeyClaimed) -> None:
        """Go on with a request whose claim was answered."""
        held = self._claiming.pop(event.request_id, None)
        if held is None:
            return
        entry = self.requests.entries.get(event.request_id)
        self.keys.end_claim(held, event.outcome == ClaimOutcome.CLAIMED)
        if entry is None or entry.state is not EntryState.CLAIMING:
            return
        if held.claimed:
            self.scheduler.submit(entry)
            return
        self.requests.refuse(entry, self._make_claim_failure(event.outcome))
        # The claim is the authority; a record here would only take room.
        if not held.claiming:
            self.keys.drop(held)

    def _make_claim_failure(self, outcome: str) -> Failure:
        if outcome == ClaimOutcome.TAKEN:
            return Failure(
                code=ErrorCode.KEY_ALREADY_CLAIMED,
                verdict=Verdict.MAY_HAVE_RUN,
                detail="another gateway claimed the key",
            )
        if outcome == ClaimOutcome.UNSETTLED:
            return Failure(
                code=ErrorCode.KEY_CLAIM_UNAVAILABLE,
                verdict=Verdict.MAY_HAVE_RUN,
                detail="the key-value service did not say who has the key",
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

    def _refuse(
        self, request: Request, code: ErrorCode, detail: str, retry_after: float
    ) -> None:
        failure = Failure(
            code=code,
            verdict=Verdict.NOT_RUN,
            detail=detail,
            retry_after=retry_after,
        )
        self.requests.refuse_arrival(request, failure)

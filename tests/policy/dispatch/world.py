"""Simulation of gateway cores, upstreams that count runs, and a claim store."""

from collections import Counter
from random import Random

from attrs import define, field

from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.idempotency import HomedKey
from mangoway.models.identifiers import (
    AttemptId,
    CallerId,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    UpstreamId,
)
from mangoway.models.request import Request
from mangoway.models.verdict import Verdict
from mangoway.policy.dispatch.actions import (
    CancelAttempt,
    ClaimKey,
    DispatchAction,
    FinishRequest,
    ForwardToHome,
    ForwardToPeer,
    JoinRequest,
    Reject,
    ReplayAnswer,
    StartAttempt,
)
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
    ClaimOutcome,
    ConfigurationChanged,
    DispatchEvent,
    HomesChanged,
    KeyClaimed,
    PeerKeysReceived,
    RequestArrived,
    RequestCancelled,
    StopRequested,
    Successor,
    Ticked,
    UpstreamLeaving,
    UpstreamListChanged,
)
from mangoway.policy.dispatch.options import DispatchOptions

from .builders import (
    CALL,
    CHAT,
    make_configuration,
    make_engine,
    make_engine_described,
    make_host,
    make_report,
    make_request,
)

ENGINES = ("engine0", "engine1")
HOSTS = ("host0", "host1")
RETENTION_S = 150.0


@define(eq=False)
class Operation:
    """An operation of a caller, which may submit it several times."""

    number: int
    idempotent: bool
    key: IdempotencyKey | None
    home: IncarnationId | None
    submissions: list[RequestId] = field(factory=list)


@define(eq=False)
class Submission:
    """One arrival at one gateway."""

    request: Request
    operation: Operation
    gateway: IncarnationId
    runs: int = 0
    endings: int = 0
    leader: RequestId | None = None
    """Request that it joined, to get the same answer."""

    not_run: bool = False
    """Whether it was rejected with the statement that it has not run."""


@define(eq=False)
class SentAttempt:
    """An attempt that was sent to an upstream."""

    action: StartAttempt
    gateway: IncarnationId
    ran: bool = False
    answered: bool = False
    rejected: bool = False
    """Whether the upstream rejected it as busy, so it must never run."""


@define(eq=False)
class Gateway:
    """One incarnation of a gateway."""

    core: DispatchCore
    paused: bool = False
    stopping: bool = False
    notified_leaving: set[UpstreamId] = field(factory=set)
    inbox: list[DispatchEvent] = field(factory=list)


@define(eq=False)
class World:
    """Drives the cores and records the actual runs, to check their decisions."""

    options: DispatchOptions
    now: float = 0.0
    gateways: dict[IncarnationId, Gateway] = field(factory=dict)
    successors: list[Successor] = field(factory=list)
    operations: list[Operation] = field(factory=list)
    submissions: dict[RequestId, Submission] = field(factory=dict)
    sent_attempts: dict[AttemptId, SentAttempt] = field(factory=dict)
    forwards: list[tuple[Operation, IncarnationId]] = field(factory=list)
    """Operations on their way to the homes of their keys."""

    homes_with_successor: set[IncarnationId] = field(factory=set)
    claims: dict[tuple[CallerId, IdempotencyKey], RequestId] = field(factory=dict)
    """Plain keys in the claim store, with the request that claimed each."""

    claiming: list[tuple[IncarnationId, ClaimKey]] = field(factory=list)
    """Claims that the store has not answered yet."""

    runs: Counter[int] = field(factory=Counter)
    """Number of runs of each operation, by its number."""

    leaving: set[UpstreamId] = field(factory=set)
    incarnations: int = 0

    # Gateways.

    def start_gateway(self) -> IncarnationId:
        self.incarnations += 1
        identity = IncarnationId(f"gateway.{self.incarnations}")
        core = DispatchCore(identity, Random(self.incarnations), self.options)
        self.gateways[identity] = Gateway(core)
        configuration = make_configuration(
            key_retention_s=RETENTION_S, key_capacity=6, address_validity_s=5.0
        )
        self.send(identity, ConfigurationChanged(configuration=configuration))
        addresses = [make_engine(name) for name in ENGINES]
        addresses += [make_host(name) for name in HOSTS]
        self.send(identity, UpstreamListChanged(upstreams=tuple(addresses)))
        for name in ENGINES:
            self.send(identity, make_engine_described(name))
            self.send(identity, make_report(name, self.now))
        for upstream in self.leaving:
            self.notify_leaving(identity, upstream)
        return identity

    def send(self, identity: IncarnationId, event: DispatchEvent) -> None:
        gateway = self.gateways.get(identity)
        if gateway is None:
            return
        if gateway.paused:
            gateway.inbox.append(event)
            return
        for action in gateway.core.handle(event, self.now):
            self.perform(identity, action)

    def kill(self, identity: IncarnationId) -> None:
        del self.gateways[identity]

    def resume(self, identity: IncarnationId) -> None:
        gateway = self.gateways[identity]
        gateway.paused = False
        inbox, gateway.inbox = gateway.inbox, []
        for event in inbox:
            self.send(identity, event)

    def stop(self, identity: IncarnationId) -> None:
        self.gateways[identity].stopping = True
        self.send(identity, StopRequested())

    def retire(
        self, identity: IncarnationId, successor_id: IncarnationId, lost: bool
    ) -> None:
        """Hand over the keys; name one successor, even if several received them."""
        keys = self.gateways[identity].core.export_keys()
        if not lost:
            self.send(successor_id, PeerKeysReceived(home=identity, keys=keys))
        if identity not in self.homes_with_successor:
            self.homes_with_successor.add(identity)
            self.successors.append(Successor(home=identity, successor=successor_id))

    def spread_homes(self, identity: IncarnationId) -> None:
        """Tell a gateway which gateways are live, and all successors."""
        live = frozenset(self.gateways)
        successors = tuple(self.successors)
        self.send(identity, HomesChanged(live=live, successors=successors))

    def notify_leaving(self, identity: IncarnationId, upstream: UpstreamId) -> None:
        gateway = self.gateways[identity]
        if gateway.paused:
            return
        gateway.notified_leaving.add(upstream)
        self.send(identity, UpstreamLeaving(upstream_id=upstream))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for identity in list(self.gateways):
            self.send(identity, Ticked())

    # Callers.

    def add_operation(
        self, idempotent: bool, key_kind: str, home: IncarnationId, skew: float
    ) -> Operation:
        number = len(self.operations)
        key = None
        key_home = None
        if key_kind == "plain":
            key = IdempotencyKey(f"own-{number}")
        if key_kind == "homed":
            key_home = home
            issued_at = max(0, int(self.now + skew))
            homed = HomedKey(home=home, issued_at=issued_at, own_id=str(number))
            key = homed.format()
        operation = Operation(number, idempotent, key, key_home)
        self.operations.append(operation)
        return operation

    def submit(
        self, operation: Operation, identity: IncarnationId, within: float
    ) -> Submission:
        request_id = RequestId(f"{identity}-{len(self.submissions)}")
        target = CHAT if operation.number % 2 else CALL
        request = make_request(
            request_id,
            self.now,
            within,
            target,
            idempotent=operation.idempotent,
            key=operation.key,
            key_home=operation.home,
            fingerprint=operation.number,
            urgent=operation.number % 3 != 0,
        )
        submission = Submission(request, operation, identity)
        self.submissions[request_id] = submission
        operation.submissions.append(request_id)
        self.send(identity, RequestArrived(request=request))
        return submission

    def cancel(self, submission: Submission) -> None:
        event = RequestCancelled(request_id=submission.request.id)
        self.send(submission.gateway, event)

    # Upstreams.

    def run(self, sent: SentAttempt) -> None:
        """Run an attempt at its upstream and count the run."""
        if sent.ran or sent.rejected:
            return
        sent.ran = True
        submission = self.submissions[sent.action.request_id]
        submission.runs += 1
        self.runs[submission.operation.number] += 1

    def answer(self, sent: SentAttempt, outcome: str) -> None:
        """Apply an outcome to an attempt and report it to the gateway."""
        attempt_id = sent.action.attempt_id
        first = not sent.answered
        sent.answered = True
        event: DispatchEvent = AttemptSucceeded(attempt_id=attempt_id)
        if outcome == "succeed":
            self.run(sent)
        elif outcome == "busy" and first and not sent.ran:
            sent.rejected = True
            event = _make_failed(attempt_id, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)
        elif outcome == "die":
            self.run(sent)
            event = _make_failed(attempt_id, ErrorCode.UPSTREAM_FAILED)
        elif outcome == "progress":
            sent.answered = not first
            self.run(sent)
            event = AttemptProgressed(attempt_id=attempt_id, tokens=3)
        elif outcome == "cancelled":
            event = AttemptCancelled(attempt_id=attempt_id, tokens=3)
        else:
            event = _make_failed(attempt_id, ErrorCode.UPSTREAM_SILENT)
        self.send(sent.gateway, event)

    def deliver_forward(self, index: int) -> None:
        operation, home = self.forwards.pop(index % len(self.forwards))
        if home in self.gateways:
            self.submit(operation, home, 10.0)

    def settle_claim(self, index: int, outcome: str) -> None:
        identity, action = self.claiming.pop(index % len(self.claiming))
        submission = self.submissions[action.request_id]
        result = ClaimOutcome.UNAVAILABLE
        if outcome != "down":
            claim = (submission.request.caller, action.key)
            free = claim not in self.claims
            self.claims.setdefault(claim, action.request_id)
            known = free and outcome == "up"
            result = ClaimOutcome.CLAIMED if known else ClaimOutcome.TAKEN
        event = KeyClaimed(request_id=action.request_id, outcome=result)
        self.send(identity, event)

    # Actions of the cores.

    def perform(self, identity: IncarnationId, action: DispatchAction) -> None:
        match action:
            case StartAttempt():
                self._perform_start(identity, action)
            case CancelAttempt(attempt_id=attempt_id):
                assert self.sent_attempts[attempt_id].gateway == identity
            case ClaimKey():
                self.claiming.append((identity, action))
            case Reject(request_id=request_id, failure=failure):
                self._end(request_id)
                self._check_rejection(self.submissions[request_id], failure)
            case FinishRequest(request_id=request_id):
                self._end(request_id)
                assert self.submissions[request_id].runs > 0
            case ReplayAnswer(request_id=request_id, answer_id=answer_id):
                self._end(request_id)
                self._check_same(request_id, answer_id)
            case JoinRequest(request_id=request_id, leader_id=leader_id):
                self._check_same(request_id, leader_id)
                self.submissions[request_id].leader = leader_id
            case ForwardToHome(request_id=request_id, home=home):
                self._end(request_id)
                assert home != identity, "forwarded to itself"
                operation = self.submissions[request_id].operation
                self.forwards.append((operation, home))
            case ForwardToPeer(request_id=request_id):
                assert self.gateways[identity].stopping
                self._end(request_id)

    def _perform_start(self, identity: IncarnationId, action: StartAttempt) -> None:
        assert action.attempt_id not in self.sent_attempts, "attempt id used twice"
        gateway = self.gateways[identity]
        assert action.upstream_id not in gateway.notified_leaving, (
            "sent to a leaving upstream"
        )
        submission = self.submissions[action.request_id]
        assert submission.gateway == identity
        assert not submission.endings, "started after the request ended"
        assert self.now <= submission.request.deadline, "started too late"
        self.sent_attempts[action.attempt_id] = SentAttempt(action, identity)

    def _end(self, request_id: RequestId) -> None:
        submission = self.submissions[request_id]
        submission.endings += 1
        assert submission.endings == 1, "ended twice"

    def _check_rejection(self, submission: Submission, failure: Failure) -> None:
        if failure.verdict is not Verdict.NOT_RUN:
            return
        submission.not_run = True
        operation = submission.operation
        if operation.home is not None and not operation.idempotent:
            assert not self.runs[operation.number], (
                "rejected as not run, but its key ran"
            )

    def _check_same(self, request_id: RequestId, other_id: RequestId) -> None:
        operation = self.submissions[request_id].operation
        assert operation is self.submissions[other_id].operation, (
            "answer of a different operation"
        )

    # Invariants.

    def check(self) -> None:
        for submission in self.submissions.values():
            if submission.not_run:
                assert not submission.runs, "rejected as not run, but it ran"
            if not submission.operation.idempotent:
                assert submission.runs <= 1, "ran twice"
        for operation in self.operations:
            if operation.key is not None and not operation.idempotent:
                assert self.runs[operation.number] <= 1, "the key ran twice"

    def drain(self) -> None:
        """End all faults and check that every request at a live gateway ends."""
        for identity in list(self.gateways):
            self.resume(identity)
        while self.forwards:
            self.deliver_forward(0)
        while self.claiming:
            self.settle_claim(0, "up")
        for _ in range(20):
            for sent in list(self.sent_attempts.values()):
                if not sent.answered:
                    self.answer(sent, "succeed")
            self.advance(15.0)
        self.check()
        for submission in self.submissions.values():
            if submission.gateway in self.gateways:
                assert self._has_ended(submission), submission
        for gateway in self.gateways.values():
            assert gateway.core.idle

    def _has_ended(self, submission: Submission) -> bool:
        if submission.endings == 0 and submission.leader is not None:
            return self.submissions[submission.leader].endings == 1
        return submission.endings == 1


def _make_failed(
    attempt_id: AttemptId, code: ErrorCode, verdict: Verdict = Verdict.MAY_HAVE_RUN
) -> AttemptFailed:
    failure = Failure(code=code, verdict=verdict, detail="")
    return AttemptFailed(attempt_id=attempt_id, verdict=verdict, failure=failure)

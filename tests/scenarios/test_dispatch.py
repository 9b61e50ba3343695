"""Steps of the scenarios on calls that run at most once, and on leaving hosts."""

from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from mangoway.models.errors import Failure
from mangoway.models.identifiers import IncarnationId, RequestId, UpstreamId
from mangoway.policy.dispatch.actions import (
    DispatchAction,
    ForwardToPeer,
    JoinRequest,
    ReplayAnswer,
)
from mangoway.policy.dispatch.options import DispatchOptions
from tests.policy.dispatch.builders import make_report
from tests.policy.dispatch.world import Operation, SentAttempt, Submission, World

DEADLINE_S = 10.0

scenarios("at_most_once.feature", "leaving.feature")


@define(eq=False)
class Stage(World):
    """The world with names for its gateways, and the results that callers got."""

    names: dict[str, IncarnationId] = field(factory=dict)
    failures: dict[RequestId, Failure] = field(factory=dict)
    response_sources: dict[RequestId, RequestId] = field(factory=dict)
    forwarded: list[RequestId] = field(factory=list)
    attempts_before: int = 0
    """Number of attempts sent before the latest notice that an upstream leaves."""

    def perform(self, identity: IncarnationId, action: DispatchAction) -> None:
        match action:
            case ReplayAnswer():
                self.response_sources[action.request_id] = action.answer_id
            case JoinRequest():
                self.response_sources[action.request_id] = action.leader_id
            case ForwardToPeer():
                self.forwarded.append(action.request_id)
        super().perform(identity, action)

    def _check_rejection(self, submission: Submission, failure: Failure) -> None:
        self.failures[submission.request.id] = failure
        super()._check_rejection(submission, failure)

    def start(self, name: str) -> None:
        self.names[name] = self.start_gateway()
        for identity in tuple(self.gateways):
            self.spread_homes(identity)

    @property
    def operation(self) -> Operation:
        return self.operations[-1]

    def list_open(self) -> list[SentAttempt]:
        return [
            attempt for attempt in self.sent_attempts.values() if not attempt.answered
        ]

    def add_call(self, key_kind: str, home: str) -> Operation:
        # Operations with even numbers are calls of a plain service, others completions.
        if len(self.operations) % 2:
            self.add_operation(True, "none", self.names["A"], 0.0)
        return self.add_operation(False, key_kind, self.names[home], 0.0)


@given("gateways A and B", target_fixture="stage")
def start_gateways() -> Stage:
    stage = Stage(DispatchOptions())
    stage.start("A")
    stage.start("B")
    return stage


@given(parsers.parse("a call with a key of {name}"))
def plan_homed(stage: Stage, name: str) -> None:
    stage.add_call("homed", name)


@given("a call with a plain key")
def plan_plain(stage: Stage) -> None:
    stage.add_call("plain", "A")


@when(parsers.parse("the caller submits it at {name}"))
def submit(stage: Stage, name: str) -> None:
    stage.submit(stage.operation, stage.names[name], DEADLINE_S)


@when(parsers.parse("{name} forwards it to its home"))
def forward(stage: Stage, name: str) -> None:
    stage.deliver_forward(0)


@when("its host responds")
def respond(stage: Stage) -> None:
    for attempt in stage.list_open():
        stage.answer(attempt, "succeed")


@when("its host runs it and the response is lost")
def lose_response(stage: Stage) -> None:
    (attempt,) = stage.list_open()
    stage.run(attempt)
    stage.answer(attempt, "lost")


@when("its host is busy")
def reject_as_busy(stage: Stage) -> None:
    (attempt,) = stage.list_open()
    stage.answer(attempt, "busy")


@when(parsers.parse("{name} is killed and {other} starts in its place"))
def replace(stage: Stage, name: str, other: str) -> None:
    stage.kill(stage.names[name])
    stage.start(other)


@when(parsers.parse("{name} is paused"))
def pause(stage: Stage, name: str) -> None:
    stage.gateways[stage.names[name]].paused = True


@when(parsers.parse("{name} is resumed"))
def resume(stage: Stage, name: str) -> None:
    stage.resume(stage.names[name])


@when(parsers.parse("{name} leaves and hands its records to {successor}"))
def hand_over(stage: Stage, name: str, successor: str) -> None:
    retire(stage, name, successor, lost=False)


@when(parsers.parse("{name} leaves and its records to {successor} are lost"))
def lose_records(stage: Stage, name: str, successor: str) -> None:
    retire(stage, name, successor, lost=True)


def retire(stage: Stage, name: str, successor: str, lost: bool) -> None:
    stage.stop(stage.names[name])
    stage.retire(stage.names[name], stage.names[successor], lost)
    stage.kill(stage.names[name])
    stage.spread_homes(stage.names[successor])


@when(parsers.parse("{name} stops"))
def stop(stage: Stage, name: str) -> None:
    stage.stop(stage.names[name])


@when("the key-value service executes both claims")
def settle_claims(stage: Stage) -> None:
    assert len(stage.claiming) == 2
    settle_claim(stage)
    settle_claim(stage)


@when("the key-value service executes its claim")
def settle_claim(stage: Stage) -> None:
    stage.settle_claim(0, "up")


@when("the key-value service is down")
def fail_claim(stage: Stage) -> None:
    stage.settle_claim(0, "down")


@when("the response to its claim is lost")
def lose_claim(stage: Stage) -> None:
    stage.settle_claim(0, "ambiguous")


@when(parsers.parse("{name} is notified that {upstream} leaves"))
def notify_leaving(stage: Stage, name: str, upstream: str) -> None:
    stage.notify_leaving(stage.names[name], UpstreamId(upstream))
    stage.attempts_before = len(stage.sent_attempts)


@when(parsers.parse("the report of {engine} shows that it leaves"))
def report_leaving(stage: Stage, engine: str) -> None:
    report = make_report(engine, stage.now, leaving=True)
    stage.send(stage.names["A"], report)
    stage.attempts_before = len(stage.sent_attempts)


@when(parsers.parse("{count:d} calls arrive at A"))
def arrive_calls(stage: Stage, count: int) -> None:
    for _ in range(count):
        stage.add_call("none", "A")
        stage.submit(stage.operation, stage.names["A"], DEADLINE_S)


@when(parsers.parse("{count:d} completions arrive at A"))
def arrive_completions(stage: Stage, count: int) -> None:
    for _ in range(count):
        if len(stage.operations) % 2 == 0:
            stage.add_operation(True, "none", stage.names["A"], 0.0)
        operation = stage.add_operation(True, "none", stage.names["A"], 0.0)
        stage.submit(operation, stage.names["A"], DEADLINE_S)


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(stage: Stage, seconds: int) -> None:
    stage.advance(float(seconds))


@then(parsers.parse('the caller gets the verdict "{verdict}"'))
def check_verdict(stage: Stage, verdict: str) -> None:
    # The last submission may be a forward to the home, whose result the caller gets.
    failure = stage.failures.get(stage.operation.submissions[-1])
    assert failure is not None, "not rejected"
    assert failure.verdict.value == verdict


@then(parsers.re(r"the call ran (?P<count>\d+) times?"), converters={"count": int})
def check_runs(stage: Stage, count: int) -> None:
    assert stage.runs[stage.operation.number] == count
    stage.check()


@then("the caller got the response to its first submission")
def check_response(stage: Stage) -> None:
    first, *_, last = stage.operation.submissions
    assert stage.response_sources[last] == first


@then(parsers.parse("{name} has sent nothing to {upstream} since"))
def check_nothing_sent(stage: Stage, name: str, upstream: str) -> None:
    sent = [
        attempt.action.upstream_id
        for attempt in list(stage.sent_attempts.values())[stage.attempts_before :]
        if attempt.gateway == stage.names[name]
    ]
    assert sent
    assert upstream not in sent


@then("every call was sent")
def check_all_sent(stage: Stage) -> None:
    assert len(stage.sent_attempts) - stage.attempts_before == len(stage.submissions)


@then(parsers.parse("{name} forwarded it to another gateway"))
def check_forwarded(stage: Stage, name: str) -> None:
    assert stage.forwarded == stage.operation.submissions

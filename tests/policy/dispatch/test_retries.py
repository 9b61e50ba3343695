"""Failed attempts, sick upstreams and the way back."""

import pytest

from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.identifiers import AttemptId
from mangoway.models.request import Request
from mangoway.models.verdict import Verdict
from mangoway.policy.dispatch.actions import (
    CancelAttempt,
    DispatchAction,
    Explain,
    FinishRequest,
    Refuse,
    StartAttempt,
)
from mangoway.policy.dispatch.breakers import BreakerState
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
    Ticked,
)
from mangoway.policy.dispatch.options import DispatchOptions

from .builders import CALL, arrive, make_core, make_request, pick, start


def make_failed(
    attempt_id: AttemptId, code: ErrorCode, verdict: Verdict, tokens: int = 0
) -> AttemptFailed:
    failure = Failure(code=code, verdict=verdict, detail="")
    return AttemptFailed(
        attempt_id=attempt_id, verdict=verdict, failure=failure, tokens=tokens
    )


def fail(
    core: DispatchCore,
    attempt: StartAttempt,
    at: float,
    code: ErrorCode = ErrorCode.UPSTREAM_FAILED,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
    tokens: int = 0,
) -> list[DispatchAction]:
    """Fail an attempt and let its backoff pass."""
    event = make_failed(attempt.attempt_id, code, verdict, tokens)
    return core.handle(event, at) + core.handle(Ticked(), at + 0.2)


class TestRetry:
    """What is tried again."""

    def test_stream_resumes_elsewhere_behind_what_was_delivered(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0, max_tokens=50), 1.0)
        progress = AttemptProgressed(attempt_id=first.attempt_id, tokens=7)
        core.handle(progress, 1.5)
        (again,) = pick(fail(core, first, 2.0, tokens=9), StartAttempt)
        assert again.resume_from == 9
        assert again.upstream_id != first.upstream_id
        assert again.attempt_id != first.attempt_id

    @pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
    def test_what_may_not_run_twice_ends_at_once(self, verdict: Verdict) -> None:
        core = make_core()
        request = make_request("a", 1.0, target=CALL, idempotent=False)
        event = make_failed(
            start(core, request, 1.0).attempt_id, ErrorCode.UPSTREAM_SILENT, verdict
        )
        (refusal,) = pick(core.handle(event, 1.1), Refuse)
        assert refusal.failure.verdict is verdict

    def test_cancel_that_nobody_asked_for_may_have_run(self) -> None:
        core = make_core()
        request = make_request("a", 1.0, target=CALL, idempotent=False)
        event = AttemptCancelled(attempt_id=start(core, request, 1.0).attempt_id)
        actions = core.handle(event, 1.1)
        assert pick(actions, Refuse)[0].failure.verdict is Verdict.MAY_HAVE_RUN
        assert not pick(core.handle(Ticked(), 2.0), StartAttempt)

    def test_not_run_is_tried_elsewhere_whatever_it_is(self) -> None:
        core = make_core()
        request = make_request("a", 1.0, target=CALL, idempotent=False)
        first = start(core, request, 1.0)
        actions = fail(core, first, 1.1, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)
        (again,) = pick(actions, StartAttempt)
        assert again.upstream_id != first.upstream_id

    def test_later_not_run_does_not_hide_an_earlier_run(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0), 1.0)
        (again,) = pick(fail(core, first, 1.1), StartAttempt)
        code = ErrorCode.MALFORMED_REQUEST
        (refusal,) = pick(fail(core, again, 1.5, code, Verdict.NOT_RUN), Refuse)
        assert refusal.failure.verdict is Verdict.MAY_HAVE_RUN

    def test_no_retry_behind_the_deadline(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0, within=1.0), 1.0)
        event = make_failed(first.attempt_id, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)
        actions = core.handle(event, 1.99)
        assert pick(actions, Refuse)
        reasons = [item.reason for item in pick(actions, Explain)]
        assert "not_retried_deadline" in reasons

    def test_late_events_of_an_old_attempt_change_nothing(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0), 1.0)
        (again,) = pick(fail(core, first, 1.1), StartAttempt)
        late = core.handle(AttemptSucceeded(attempt_id=first.attempt_id), 1.6)
        assert not pick(late, FinishRequest)
        ended = core.handle(AttemptSucceeded(attempt_id=again.attempt_id), 1.7)
        assert pick(ended, FinishRequest)

    def test_brown_out_is_not_doubled(self) -> None:
        core = make_core(engines=4, max_running=1000)
        first = 0
        retries = 0
        for number in range(2000):
            at = 1.0 + number / 200
            actions = arrive(core, make_request(str(number), at, 30.0), at)
            for attempt in pick(actions, StartAttempt):
                first += attempt.request_id == str(number)
                retries += attempt.request_id != str(number)
                code = ErrorCode.UPSTREAM_FAILED
                event = make_failed(attempt.attempt_id, code, Verdict.MAY_HAVE_RUN)
                more = core.handle(event, at)
                assert not pick(more, StartAttempt)
        assert first == 2000
        assert retries <= 200 + 0.1 * first + 5 * 10 + 10
        states = [item.breaker.state for item in core.context.fleet.upstreams.values()]
        assert states.count(BreakerState.OPEN) <= 3


class TestBreaker:
    """Sick upstreams and the way back."""

    def trip(
        self,
        core: DispatchCore,
        at: float,
        code: ErrorCode = ErrorCode.UPSTREAM_FAILED,
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
    ) -> str:
        """Fail one host until it gets no work; return its name."""
        sick = ""
        for number in range(40):
            request = make_request(f"{at}{number}", at, 60.0, CALL)
            attempt = start(core, request, at)
            sick = sick or attempt.upstream_id
            if attempt.upstream_id == sick:
                event = make_failed(attempt.attempt_id, code, verdict)
            else:
                event = AttemptSucceeded(attempt_id=attempt.attempt_id)
            core.handle(event, at)
        return sick

    @pytest.mark.parametrize(
        ("code", "verdict"),
        [
            (ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN),
            (ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN),
        ],
    )
    def test_sick_host_gets_one_probe_and_comes_back(
        self, code: ErrorCode, verdict: Verdict
    ) -> None:
        core = make_core(hosts=3)
        sick = self.trip(core, 1.0, code, verdict)
        breaker = core.context.fleet.upstreams[sick].breaker
        assert breaker.state is BreakerState.OPEN
        core.handle(Ticked(), 3.0)
        assert breaker.state is BreakerState.HALF_OPEN
        probes = []
        for number in range(40):
            attempt = start(core, make_request(f"p{number}", 3.0, 60.0, CALL), 3.0)
            if attempt.upstream_id == sick:
                probes.append(attempt)
        (probe,) = probes
        core.handle(AttemptSucceeded(attempt_id=probe.attempt_id), 3.1)
        assert breaker.state is BreakerState.CLOSED

    def test_failed_probe_doubles_the_time(self) -> None:
        core = make_core(hosts=3)
        sick = self.trip(core, 1.0)
        core.handle(Ticked(), 3.0)
        self.trip(core, 3.0)
        for number in range(40):
            attempt = start(core, make_request(f"p{number}", 3.0, 60.0, CALL), 3.0)
            if attempt.upstream_id == sick:
                code = ErrorCode.UPSTREAM_SILENT
                event = make_failed(attempt.attempt_id, code, Verdict.MAY_HAVE_RUN)
                core.handle(event, 3.0)
        breaker = core.context.fleet.upstreams[sick].breaker
        core.handle(Ticked(), 4.5)
        assert breaker.state is BreakerState.OPEN
        core.handle(Ticked(), 6.0)
        assert breaker.state is BreakerState.HALF_OPEN

    def test_non_idempotent_calls_are_no_probes(self) -> None:
        core = make_core(hosts=3)
        sick = self.trip(core, 1.0)
        core.handle(Ticked(), 3.0)
        for number in range(20):
            name = f"p{number}"
            request = make_request(name, 3.0, 60.0, CALL, idempotent=False)
            assert start(core, request, 3.0).upstream_id != sick


class TestPreemption:
    """Patient streams that make room for urgent work."""

    def make_patient(self, name: str) -> Request:
        return make_request(name, 1.0, 900.0, urgent=False, max_tokens=50)

    def test_patient_stream_goes_on_after_urgent_work(self) -> None:
        options = DispatchOptions(preemption=True)
        core = make_core(engines=1, max_running=1, options=options)
        patient = start(core, self.make_patient("patient"), 1.0)
        actions = arrive(core, make_request("urgent", 2.0), 2.0)
        (cancel,) = pick(actions, CancelAttempt)
        assert cancel.attempt_id == patient.attempt_id
        event = AttemptCancelled(attempt_id=patient.attempt_id, tokens=8)
        (urgent,) = pick(core.handle(event, 2.1), StartAttempt)
        assert urgent.request_id == "urgent"
        ended = AttemptSucceeded(attempt_id=urgent.attempt_id)
        (resumed,) = pick(core.handle(ended, 3.0), StartAttempt)
        assert (resumed.request_id, resumed.resume_from) == ("patient", 8)

    def test_it_is_off_by_default(self) -> None:
        core = make_core(engines=1, max_running=1)
        start(core, self.make_patient("patient"), 1.0)
        actions = arrive(core, make_request("urgent", 2.0), 2.0)
        assert not pick(actions, CancelAttempt)

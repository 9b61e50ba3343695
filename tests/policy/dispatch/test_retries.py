"""Tests of retries, circuit breakers and preemption."""

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
    Reject,
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

from .builders import CALL, arrive, make_core, make_request, select, start


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
    """Retries of failed attempts."""

    def test_stream_resumes_elsewhere_after_the_delivered_tokens(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0, max_tokens=50), 1.0)
        progress = AttemptProgressed(attempt_id=first.attempt_id, tokens=7)
        core.handle(progress, 1.5)
        (again,) = select(fail(core, first, 2.0, tokens=9), StartAttempt)
        assert again.resume_from == 9
        assert again.upstream_id != first.upstream_id
        assert again.attempt_id != first.attempt_id

    @pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
    def test_non_idempotent_request_is_not_retried(self, verdict: Verdict) -> None:
        core = make_core()
        request = make_request("a", 1.0, target=CALL, idempotent=False)
        event = make_failed(
            start(core, request, 1.0).attempt_id, ErrorCode.UPSTREAM_SILENT, verdict
        )
        (rejection,) = select(core.handle(event, 1.1), Reject)
        assert rejection.failure.verdict is verdict

    def test_unrequested_cancellation_may_have_run(self) -> None:
        core = make_core()
        request = make_request("a", 1.0, target=CALL, idempotent=False)
        event = AttemptCancelled(attempt_id=start(core, request, 1.0).attempt_id)
        actions = core.handle(event, 1.1)
        assert select(actions, Reject)[0].failure.verdict is Verdict.MAY_HAVE_RUN
        assert not select(core.handle(Ticked(), 2.0), StartAttempt)

    def test_attempt_that_did_not_run_is_retried_elsewhere(self) -> None:
        core = make_core()
        request = make_request("a", 1.0, target=CALL, idempotent=False)
        first = start(core, request, 1.0)
        actions = fail(core, first, 1.1, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)
        (again,) = select(actions, StartAttempt)
        assert again.upstream_id != first.upstream_id

    def test_verdict_covers_earlier_attempts(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0), 1.0)
        (again,) = select(fail(core, first, 1.1), StartAttempt)
        code = ErrorCode.MALFORMED_REQUEST
        (rejection,) = select(fail(core, again, 1.5, code, Verdict.NOT_RUN), Reject)
        assert rejection.failure.verdict is Verdict.MAY_HAVE_RUN

    def test_no_retry_after_the_deadline(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0, within=1.0), 1.0)
        event = make_failed(first.attempt_id, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)
        actions = core.handle(event, 1.99)
        assert select(actions, Reject)
        reasons = [item.reason for item in select(actions, Explain)]
        assert "not_retried_deadline" in reasons

    def test_late_events_of_an_old_attempt_are_ignored(self) -> None:
        core = make_core()
        first = start(core, make_request("a", 1.0), 1.0)
        (again,) = select(fail(core, first, 1.1), StartAttempt)
        late = core.handle(AttemptSucceeded(attempt_id=first.attempt_id), 1.6)
        assert not select(late, FinishRequest)
        ended = core.handle(AttemptSucceeded(attempt_id=again.attempt_id), 1.7)
        assert select(ended, FinishRequest)

    def test_retries_are_limited_if_all_attempts_fail(self) -> None:
        core = make_core(engines=4, max_running=1000)
        first = 0
        retries = 0
        for number in range(2000):
            at = 1.0 + number / 200
            actions = arrive(core, make_request(str(number), at, 30.0), at)
            for attempt in select(actions, StartAttempt):
                first += attempt.request_id == str(number)
                retries += attempt.request_id != str(number)
                code = ErrorCode.UPSTREAM_FAILED
                event = make_failed(attempt.attempt_id, code, Verdict.MAY_HAVE_RUN)
                more = core.handle(event, at)
                assert not select(more, StartAttempt)
        assert first == 2000
        assert retries <= 200 + 0.1 * first + 5 * 10 + 10
        states = [item.breaker.state for item in core.context.fleet.upstreams.values()]
        assert states.count(BreakerState.OPEN) <= 3


class TestBreaker:
    """Circuit breakers of failing upstreams."""

    def trip(
        self,
        core: DispatchCore,
        at: float,
        code: ErrorCode = ErrorCode.UPSTREAM_FAILED,
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
    ) -> str:
        """Fail the attempts at one host until its breaker opens; return its name."""
        failing = ""
        for number in range(40):
            request = make_request(f"{at}{number}", at, 60.0, CALL)
            attempt = start(core, request, at)
            failing = failing or attempt.upstream_id
            if attempt.upstream_id == failing:
                event = make_failed(attempt.attempt_id, code, verdict)
            else:
                event = AttemptSucceeded(attempt_id=attempt.attempt_id)
            core.handle(event, at)
        return failing

    @pytest.mark.parametrize(
        ("code", "verdict"),
        [
            (ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN),
            (ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN),
        ],
    )
    def test_failing_host_gets_one_probe_and_recovers(
        self, code: ErrorCode, verdict: Verdict
    ) -> None:
        core = make_core(hosts=3)
        failing = self.trip(core, 1.0, code, verdict)
        breaker = core.context.fleet.upstreams[failing].breaker
        assert breaker.state is BreakerState.OPEN
        core.handle(Ticked(), 3.0)
        assert breaker.state is BreakerState.HALF_OPEN
        probes = []
        for number in range(40):
            attempt = start(core, make_request(f"p{number}", 3.0, 60.0, CALL), 3.0)
            if attempt.upstream_id == failing:
                probes.append(attempt)
        (probe,) = probes
        core.handle(AttemptSucceeded(attempt_id=probe.attempt_id), 3.1)
        assert breaker.state is BreakerState.CLOSED

    def test_failed_probe_doubles_the_open_time(self) -> None:
        core = make_core(hosts=3)
        failing = self.trip(core, 1.0)
        core.handle(Ticked(), 3.0)
        self.trip(core, 3.0)
        for number in range(40):
            attempt = start(core, make_request(f"p{number}", 3.0, 60.0, CALL), 3.0)
            if attempt.upstream_id == failing:
                code = ErrorCode.UPSTREAM_SILENT
                event = make_failed(attempt.attempt_id, code, Verdict.MAY_HAVE_RUN)
                core.handle(event, 3.0)
        breaker = core.context.fleet.upstreams[failing].breaker
        core.handle(Ticked(), 4.5)
        assert breaker.state is BreakerState.OPEN
        core.handle(Ticked(), 6.0)
        assert breaker.state is BreakerState.HALF_OPEN

    def test_non_idempotent_calls_are_not_used_as_probes(self) -> None:
        core = make_core(hosts=3)
        failing = self.trip(core, 1.0)
        core.handle(Ticked(), 3.0)
        for number in range(20):
            name = f"p{number}"
            request = make_request(name, 3.0, 60.0, CALL, idempotent=False)
            assert start(core, request, 3.0).upstream_id != failing


class TestPreemption:
    """Preemption of patient requests by urgent ones."""

    def make_patient(self, name: str) -> Request:
        return make_request(name, 1.0, 900.0, urgent=False, max_tokens=50)

    def test_preempted_stream_resumes_after_the_urgent_request(self) -> None:
        options = DispatchOptions(preemption=True)
        core = make_core(engines=1, max_running=1, options=options)
        patient = start(core, self.make_patient("patient"), 1.0)
        actions = arrive(core, make_request("urgent", 2.0), 2.0)
        (cancel,) = select(actions, CancelAttempt)
        assert cancel.attempt_id == patient.attempt_id
        event = AttemptCancelled(attempt_id=patient.attempt_id, tokens=8)
        (urgent,) = select(core.handle(event, 2.1), StartAttempt)
        assert urgent.request_id == "urgent"
        ended = AttemptSucceeded(attempt_id=urgent.attempt_id)
        (resumed,) = select(core.handle(ended, 3.0), StartAttempt)
        assert (resumed.request_id, resumed.resume_from) == ("patient", 8)

    def test_preemption_is_off_by_default(self) -> None:
        core = make_core(engines=1, max_running=1)
        start(core, self.make_patient("patient"), 1.0)
        actions = arrive(core, make_request("urgent", 2.0), 2.0)
        assert not select(actions, CancelAttempt)

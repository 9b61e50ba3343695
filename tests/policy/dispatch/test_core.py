"""Tests of admission, deadlines, the planned stop and the status."""

import pytest

from mangoway.models.errors import ErrorCode
from mangoway.models.identifiers import CallName, ServiceName
from mangoway.models.offer import CallerOffer
from mangoway.models.request import ServiceCall, Target
from mangoway.models.upstream import Residency
from mangoway.models.verdict import Verdict
from mangoway.policy.dispatch.actions import (
    CancelAttempt,
    DispatchAction,
    ForwardToPeer,
    Reject,
    ReportDemand,
    StartAttempt,
    WakeAt,
)
from mangoway.policy.dispatch.events import (
    AttemptSucceeded,
    RequestCancelled,
    StopRequested,
    Ticked,
    UpstreamListChanged,
)
from mangoway.policy.dispatch.options import DispatchOptions
from mangoway.policy.dispatch.registry import create_dispatch, list_dispatch_names
from mangoway.policy.dispatch.status import describe_dispatch
from mangoway.policy.dispatch.timers import Timers

from .builders import (
    CALL,
    CHAT,
    DRAFT,
    arrive,
    make_artifact,
    make_configuration,
    make_core,
    make_engine,
    make_report,
    make_request,
    select,
    start,
)


def find_code(actions: list[DispatchAction]) -> ErrorCode:
    (rejection,) = select(actions, Reject)
    assert rejection.failure.verdict is Verdict.NOT_RUN
    code: ErrorCode = rejection.failure.code
    return code


class TestAdmission:
    """Requests that are admitted or rejected before they run."""

    @pytest.mark.parametrize(
        ("target", "code"),
        [
            (make_artifact("none"), ErrorCode.UNKNOWN_MODEL),
            (
                ServiceCall(ServiceName("floor"), CallName("none")),
                ErrorCode.UNKNOWN_SERVICE,
            ),
        ],
    )
    def test_unknown_target_is_rejected(self, target: Target, code: ErrorCode) -> None:
        request = make_request("a", 1.0, target=target)
        assert find_code(arrive(make_core(), request, 1.0)) is code

    def test_caller_over_its_rate_limit_gets_retry_after(self) -> None:
        offer = CallerOffer(requests_per_second=2.0, burst=1)
        core = make_core(configuration=make_configuration({"office": offer}))
        start(core, make_request("a", 1.0), 1.0)
        actions = arrive(core, make_request("b", 1.1), 1.1)
        assert find_code(actions) is ErrorCode.CALLER_LIMIT
        assert select(actions, Reject)[0].failure.retry_after == pytest.approx(0.4)
        start(core, make_request("c", 1.6), 1.6)
        stranger = make_request("d", 1.6, caller="stranger")
        assert find_code(arrive(core, stranger, 1.6)) is ErrorCode.UNKNOWN_CALLER

    def test_unreachable_deadline_is_rejected_at_once(self) -> None:
        core = make_core(engines=1, max_running=1)
        attempt = start(core, make_request("warm", 1.0), 1.0).attempt_id
        core.handle(AttemptSucceeded(attempt_id=attempt), 3.0)
        start(core, make_request("runs", 3.0), 3.0)
        assert not select(arrive(core, make_request("b", 3.0), 3.0), Reject)
        for number in range(2):
            arrive(core, make_request(f"w{number}", 3.0), 3.0)
        short = make_request("short", 3.0, within=5.0)
        actions = arrive(core, short, 3.0)
        assert find_code(actions) is ErrorCode.DEADLINE_UNREACHABLE
        assert select(actions, Reject)[0].failure.retry_after >= 0.5

    def test_urgent_load_does_not_reject_feasible_patient_requests(
        self,
    ) -> None:
        core = make_core(engines=1, max_running=1)
        attempt = start(core, make_request("warm", 1.0), 1.0).attempt_id
        core.handle(AttemptSucceeded(attempt_id=attempt), 2.0)
        attempt = start(core, make_request("first", 2.0, target=DRAFT), 2.0).attempt_id
        for number in range(16):
            at = 3.0 + number
            patient = make_request(f"patient{number}", at, 60.0, urgent=False)
            assert not select(arrive(core, patient, at), Reject)
            arrive(core, make_request(f"urgent{number}", at, 5.0, DRAFT), at)
            actions = core.handle(AttemptSucceeded(attempt_id=attempt), at)
            assert not select(actions, Reject)
            (started,) = select(actions, StartAttempt)
            assert started.request_id == f"urgent{number}"
            attempt = started.attempt_id

    def test_request_without_copy_waits_only_if_a_load_may_finish(self) -> None:
        core = make_core(engines=1, artifacts=())
        actions = arrive(core, make_request("a", 1.0), 1.0)
        assert find_code(actions) is ErrorCode.MODEL_LOADING
        assert select(actions, Reject)[0].failure.retry_after >= 20.0
        arrive(core, make_request("b", 1.0, within=40.0), 1.0)
        core.handle(make_report("engine0", 2.0, state=Residency.LOADING), 2.0)
        (started,) = select(
            core.handle(make_report("engine0", 12.0), 12.0), StartAttempt
        )
        assert started.request_id == "b"

    def test_wait_for_a_load_that_never_begins_ends_early(self) -> None:
        core = make_core(engines=1, artifacts=())
        arrive(core, make_request("a", 1.0, within=40.0), 1.0)
        assert not select(core.handle(Ticked(), 20.0), Reject)
        actions = core.handle(Ticked(), 28.0)
        assert find_code(actions) is ErrorCode.MODEL_LOADING

    def test_service_without_hosts_is_rejected(self) -> None:
        core = make_core(hosts=0)
        actions = arrive(core, make_request("a", 1.0, target=CALL), 1.0)
        assert find_code(actions) is ErrorCode.NO_UPSTREAM

    def test_too_high_average_decays(self) -> None:
        core = make_core(engines=1)
        attempt = start(core, make_request("a", 1.0, 100.0), 1.0).attempt_id
        core.handle(AttemptSucceeded(attempt_id=attempt), 91.0)
        rejected = arrive(core, make_request("b", 91.0, 5.0), 91.0)
        assert find_code(rejected) is ErrorCode.DEADLINE_UNREACHABLE
        start(core, make_request("c", 300.0, 5.0), 300.0)


class TestTime:
    """Deadlines, pauses and timers."""

    def test_waiting_request_ends_at_its_deadline(self) -> None:
        core = make_core(engines=1, max_running=1)
        start(core, make_request("a", 1.0, 100.0), 1.0)
        arrive(core, make_request("b", 1.0, 4.0), 1.0)
        assert not select(core.handle(Ticked(), 4.9), Reject)
        assert select(core.handle(Ticked(), 5.0), Reject)[0].request_id == "b"

    def test_paused_process_starts_no_expired_request(self) -> None:
        core = make_core(engines=1, max_running=1)
        attempt = start(core, make_request("a", 1.0, 100.0), 1.0).attempt_id
        arrive(core, make_request("b", 1.0, 4.0), 1.0)
        actions = core.handle(AttemptSucceeded(attempt_id=attempt), 50.0)
        assert not select(actions, StartAttempt)
        assert select(actions, Reject)[0].request_id == "b"

    def test_deadline_is_checked_again_before_a_start(self) -> None:
        core = make_core(engines=1, max_running=1)
        attempt = start(core, make_request("a", 1.0, 100.0), 1.0).attempt_id
        arrive(core, make_request("b", 1.0, 100.0), 1.0)
        actions = core.handle(AttemptSucceeded(attempt_id=attempt), 91.0)
        assert not select(actions, StartAttempt)
        assert find_code(actions) is ErrorCode.DEADLINE_UNREACHABLE

    def test_running_request_ends_at_its_deadline(self) -> None:
        core = make_core()
        attempt = start(core, make_request("a", 1.0, 4.0), 1.0).attempt_id
        actions = core.handle(Ticked(), 5.0)
        assert select(actions, CancelAttempt)[0].attempt_id == attempt
        (rejection,) = select(actions, Reject)
        assert rejection.failure.code is ErrorCode.DEADLINE_EXCEEDED
        assert rejection.failure.verdict is Verdict.MAY_HAVE_RUN

    def test_hang_up_cancels_and_frees_the_slot_after_a_timeout(self) -> None:
        core = make_core(engines=1, max_running=1)
        start(core, make_request("a", 1.0, 100.0), 1.0)
        actions = core.handle(RequestCancelled(request_id="a"), 2.0)
        assert select(actions, CancelAttempt)
        assert select(actions, Reject)[0].failure.code is ErrorCode.CANCELLED
        arrive(core, make_request("b", 2.0, 100.0), 2.0)
        (started,) = select(core.handle(Ticked(), 12.1), StartAttempt)
        assert started.request_id == "b"

    def test_wakeup_is_requested_for_the_next_timer(self) -> None:
        core = make_core()
        (wake,) = select(core.handle(Ticked(), 0.5), WakeAt)
        assert wake.time == 1.0
        (wake,) = select(core.handle(Ticked(), 1.0), WakeAt)
        assert wake.time == 2.0

    def test_cancelled_timers_are_dropped(self) -> None:
        timers = Timers()
        kept = [timers.schedule(1000.0, lambda: None) for _ in range(10)]
        for _ in range(1000):
            timers.cancel(timers.schedule(500.0, lambda: None))
        assert len(timers._heap) <= 2 * len(kept) + 1
        assert timers.find_next() == 1000.0

    def test_demand_is_reported_each_period(self) -> None:
        core = make_core(engines=1, max_running=1)
        for number in range(3):
            arrive(core, make_request(str(number), 0.5, 99.0, max_tokens=7), 0.5)
        (report,) = select(core.handle(Ticked(), 1.0), ReportDemand)
        (demand,) = report.demands
        assert demand.artifact == CHAT
        assert (demand.arrived, demand.queued, demand.tokens) == (3, 2, 21)
        (report,) = select(core.handle(Ticked(), 2.0), ReportDemand)
        assert (report.demands[0].arrived, report.demands[0].queued) == (0, 2)


class TestStop:
    """Planned stop of the gateway."""

    def test_new_requests_are_forwarded_then_rejected(self) -> None:
        core = make_core(engines=1, max_running=1)
        running = start(core, make_request("a", 1.0, 100.0), 1.0)
        arrive(core, make_request("queued", 1.0, 100.0), 1.0)
        core.handle(StopRequested(), 2.0)
        assert select(arrive(core, make_request("b", 6.0), 6.0), ForwardToPeer)
        late = arrive(core, make_request("c", 7.5), 7.5)
        assert find_code(late) is ErrorCode.LEAVING
        ended = AttemptSucceeded(attempt_id=running.attempt_id)
        (started,) = select(core.handle(ended, 8.0), StartAttempt)
        assert started.request_id == "queued"
        assert not core.idle
        core.handle(AttemptSucceeded(attempt_id=started.attempt_id), 9.0)
        assert core.idle


class TestInterface:
    """Registry and status."""

    def test_policy_is_created_by_name(self) -> None:
        assert "deadline_aware" in list_dispatch_names()
        core = make_core()
        context = core.context
        options = DispatchOptions()
        policy = create_dispatch(
            "deadline_aware", context.identity, context.rng, options
        )
        assert type(policy) is type(core)
        with pytest.raises(KeyError):
            create_dispatch("none", context.identity, context.rng, options)

    def test_status_shows_queues_and_upstreams(self) -> None:
        core = make_core(engines=1, hosts=0, max_running=1)
        start(core, make_request("a", 1.0), 1.0)
        arrive(core, make_request("b", 1.0, urgent=False), 1.0)
        core.handle(
            UpstreamListChanged(upstreams=(make_engine("engine0", leaving=True),)), 1.0
        )
        status = describe_dispatch(core)
        (queue,) = status.queues
        (upstream,) = status.upstreams
        assert (queue.target, queue.urgent, queue.patient) == (CHAT, 0, 1)
        assert (upstream.in_flight, upstream.window, upstream.leaving) == (1, 1, True)

"""Tests of the order of waiting requests and of rejections by full queues."""

from collections import Counter

import pytest

from mangoway.models.errors import ErrorCode
from mangoway.models.offer import CallerOffer
from mangoway.policy.dispatch import queues
from mangoway.policy.dispatch.actions import Reject, StartAttempt
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import AttemptSucceeded

from .builders import (
    CHAT,
    DRAFT,
    arrive,
    make_configuration,
    make_core,
    make_request,
    select,
    start,
)

CALLERS = {"small": CallerOffer(weight=1.0), "large": CallerOffer(weight=3.0)}


def make_full_core(**kwargs: object) -> tuple[DispatchCore, str]:
    """Return a core whose only slot is in use, and the attempt that uses it."""
    core = make_core(
        engines=1,
        max_running=1,
        configuration=make_configuration(CALLERS),
    )
    request = make_request("first", 0.5, caller="small", within=900.0)
    return core, start(core, request, 0.5).attempt_id


def serve(core: DispatchCore, attempt: str, count: int, at: float) -> list[str]:
    """Serve requests one by one on the only slot; return their ids in order."""
    served = []
    for step in range(count):
        ended = AttemptSucceeded(attempt_id=attempt)
        (started,) = select(core.handle(ended, at + step / 100), StartAttempt)
        served.append(started.request_id)
        attempt = started.attempt_id
    return served


class TestOrder:
    """Order in which waiting requests are served."""

    def test_callers_share_by_weight(self) -> None:
        core, attempt = make_full_core()
        for number in range(20):
            for caller in CALLERS:
                name = f"{caller}{number}"
                request = make_request(name, 1.0, caller=caller, within=900.0)
                arrive(core, request, 1.0)
        served = serve(core, attempt, 16, 2.0)
        counts = Counter(name.rstrip("0123456789") for name in served)
        assert counts == {"large": 12, "small": 4}

    def test_popular_model_does_not_starve_another_on_its_runner(self) -> None:
        core, attempt = make_full_core()
        for number in range(30):
            request = make_request(f"hot{number}", 1.0, caller="large", within=900.0)
            arrive(core, request, 1.0)
        for number in range(4):
            name = f"cold{number}"
            request = make_request(name, 1.5, 900.0, DRAFT, "small")
            arrive(core, request, 1.5)
        served = serve(core, attempt, 10, 2.0)
        assert sum(name.startswith("cold") for name in served) == 4

    def test_earliest_deadline_of_a_caller_goes_first(self) -> None:
        core, attempt = make_full_core()
        for number, within in enumerate((300.0, 100.0, 200.0)):
            request = make_request(str(number), 1.0, within, caller="small")
            arrive(core, request, 1.0)
        assert serve(core, attempt, 3, 2.0) == ["1", "2", "0"]

    def test_critical_patient_request_uses_the_reserve(self) -> None:
        core, attempt = make_full_core()
        for number in range(20):
            request = make_request(f"urgent{number}", 1.0, 900.0, caller="large")
            arrive(core, request, 1.0)
        relaxed = make_request("relaxed", 1.0, 900.0, CHAT, "small", urgent=False)
        critical = make_request("critical", 1.0, 19.0, CHAT, "small", urgent=False)
        arrive(core, relaxed, 1.0)
        arrive(core, critical, 1.0)
        served = serve(core, attempt, 9, 2.0)
        assert served.index("critical") == 4
        assert "relaxed" not in served


class TestFullQueue:
    """Order in which requests are rejected by a full queue."""

    @pytest.fixture(autouse=True)
    def bound(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(queues, "QUEUE_MAX_PER_TARGET", 3)

    def fill(self, core: DispatchCore, *names: str) -> list[str]:
        """Queue `<caller>-<class>-<deadline>` requests; return the rejected ones."""
        rejected = []
        for name in names:
            caller, work, within, *_ = name.split("-")
            request = make_request(
                name, 1.0, float(within), CHAT, caller, work == "urgent"
            )
            rejections = select(arrive(core, request, 1.0), Reject)
            assert all(item.failure.code is ErrorCode.OVERLOADED for item in rejections)
            rejected += [item.request_id for item in rejections]
        return rejected

    def test_patient_request_is_rejected_before_urgent(self) -> None:
        core, _ = make_full_core()
        waiting = ("small-urgent-90", "small-patient-90", "small-patient-95")
        assert self.fill(core, *waiting) == []
        assert self.fill(core, "large-urgent-99") == ["small-patient-95"]

    def test_caller_over_its_share_is_rejected_first(self) -> None:
        core, _ = make_full_core()
        waiting = ("small-urgent-90", "small-urgent-91", "large-urgent-99")
        assert self.fill(core, *waiting) == []
        assert self.fill(core, "large-urgent-98") == ["small-urgent-91"]

    def test_latest_deadline_of_a_caller_is_rejected_first(self) -> None:
        core, _ = make_full_core()
        waiting = ("small-urgent-90", "small-urgent-99", "small-urgent-91")
        assert self.fill(core, *waiting) == []
        assert self.fill(core, "small-urgent-80") == ["small-urgent-99"]
        assert self.fill(core, "small-urgent-99-b") == ["small-urgent-99-b"]


class TestHeadroom:
    """Patient requests with slack leave room for urgent ones."""

    def fill(self, core: DispatchCore) -> int:
        """Submit patient requests until one waits; return how many started."""
        for number in range(10):
            request = make_request(f"p{number}", 1.0, within=900.0, urgent=False)
            if not select(arrive(core, request, 1.0), StartAttempt):
                return number
        return 10

    def test_patient_requests_leave_slots_for_urgent_ones(self) -> None:
        core = make_core(engines=1, max_running=10)
        assert self.fill(core) == 6
        for number in range(4):
            start(core, make_request(f"u{number}", 1.0), 1.0)

    def test_critical_patient_request_uses_any_slot(self) -> None:
        core = make_core(engines=1, max_running=10)
        self.fill(core)
        start(core, make_request("due", 1.0, within=12.0, urgent=False), 1.0)

    def test_end_of_an_answer_starts_a_waiting_patient_request(self) -> None:
        core = make_core(engines=1, max_running=10)
        attempt = start(core, make_request("p", 0.5, within=900.0, urgent=False), 0.5)
        self.fill(core)
        ended = AttemptSucceeded(attempt_id=attempt.attempt_id)
        assert select(core.handle(ended, 2.0), StartAttempt)

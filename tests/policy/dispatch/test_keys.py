"""Tests of idempotency keys at one gateway."""

from typing import Any

import pytest

from mangoway.models.errors import ErrorCode
from mangoway.models.identifiers import CallerId, IdempotencyKey, IncarnationId
from mangoway.models.request import Request
from mangoway.models.verdict import Verdict
from mangoway.policy.dispatch.actions import (
    ClaimKey,
    DeleteAnswer,
    DispatchAction,
    FinishRequest,
    ForwardToHome,
    JoinRequest,
    Reject,
    ReplayAnswer,
    StartAttempt,
)
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import (
    AttemptSucceeded,
    ClaimOutcome,
    ConfigurationChanged,
    HomesChanged,
    KeyClaimed,
    KeyRecord,
    PeerKeysReceived,
    RequestCancelled,
    Successor,
    Ticked,
)

from .builders import CALL, arrive, make_configuration, make_core, make_request, select

OTHER = IncarnationId("other")


def make_keyed(
    name: str, at: float, own_id: str = "a", home: str = "home", **kwargs: Any
) -> Request:
    issued_at = kwargs.pop("issued_at", int(at))
    return make_request(
        name,
        at,
        target=CALL,
        idempotent=False,
        key=IdempotencyKey(f"{home}:{issued_at}:{own_id}"),
        key_home=IncarnationId(home),
        **kwargs,
    )


def make_plain(name: str, at: float) -> Request:
    key = IdempotencyKey("mine")
    return make_request(name, at, target=CALL, idempotent=False, key=key)


def make_successor_named(successor: str) -> HomesChanged:
    """Return the event that names the successor of `OTHER`, which has left."""
    successor_id = IncarnationId(successor)
    named = Successor(home=OTHER, successor=successor_id)
    return HomesChanged(live=frozenset(), successors=(named,))


def find_rejection(actions: list[DispatchAction]) -> tuple[ErrorCode, Verdict]:
    (rejection,) = select(actions, Reject)
    return rejection.failure.code, rejection.failure.verdict


def finish(core: DispatchCore, actions: list[DispatchAction], at: float) -> None:
    (started,) = select(actions, StartAttempt)
    ended = core.handle(AttemptSucceeded(attempt_id=started.attempt_id), at)
    (finished,) = select(ended, FinishRequest)
    assert finished.keep_answer


class TestHomedKey:
    """Keys whose home is this gateway."""

    def test_request_in_progress_is_joined_and_finished_one_replayed(self) -> None:
        core = make_core()
        first = arrive(core, make_keyed("a", 1.0), 1.0)
        second = arrive(core, make_keyed("b", 1.0), 2.0)
        assert select(second, JoinRequest)[0].leader_id == "a"
        assert not select(second, StartAttempt)
        finish(core, first, 3.0)
        third = arrive(core, make_keyed("c", 1.0), 4.0)
        assert select(third, ReplayAnswer)[0].answer_id == "a"

    def test_running_request_continues_after_a_hang_up(self) -> None:
        core = make_core()
        first = arrive(core, make_keyed("a", 1.0), 1.0)
        assert not select(core.handle(RequestCancelled(request_id="a"), 2.0), Reject)
        finish(core, first, 3.0)
        again = arrive(core, make_keyed("b", 1.0), 4.0)
        assert select(again, ReplayAnswer)

    def test_key_with_a_different_body_is_rejected(self) -> None:
        core = make_core()
        arrive(core, make_keyed("a", 1.0, fingerprint=1), 1.0)
        other = arrive(core, make_keyed("b", 1.0, fingerprint=2), 1.0)
        assert find_rejection(other) == (ErrorCode.KEY_REUSED, Verdict.NOT_RUN)

    def test_callers_have_separate_key_spaces(self) -> None:
        core = make_core()
        arrive(core, make_keyed("a", 1.0, caller="one"), 1.0)
        other = arrive(core, make_keyed("b", 1.0, caller="two"), 1.0)
        assert select(other, StartAttempt)

    def test_key_is_expired_once_its_record_is_dropped(self) -> None:
        core = make_core()
        finish(core, arrive(core, make_keyed("a", 1.0), 1.0), 2.0)
        kept = arrive(core, make_keyed("b", 1.0, within=900.0), 620.0)
        assert select(kept, ReplayAnswer)
        assert select(core.handle(Ticked(), 640.0), DeleteAnswer)
        late = make_keyed("c", 641.0, issued_at=1)
        expired = (ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN)
        assert find_rejection(arrive(core, late, 641.0)) == expired

    def test_longer_retention_does_not_revive_a_dropped_key(self) -> None:
        core = make_core()
        finish(core, arrive(core, make_keyed("a", 1.0), 1.0), 2.0)
        core.handle(Ticked(), 640.0)
        longer = make_configuration(version=2, key_retention_s=3600.0)
        core.handle(ConfigurationChanged(configuration=longer), 641.0)
        late = make_keyed("b", 642.0, issued_at=1)
        assert find_rejection(arrive(core, late, 642.0))[0] is ErrorCode.KEY_EXPIRED

    @pytest.mark.parametrize("issued_at", ["400", "x", ""])
    def test_invalid_issue_time_is_rejected(self, issued_at: str) -> None:
        request = make_keyed("a", 1.0, issued_at=issued_at)
        rejection = find_rejection(arrive(make_core(), request, 1.0))
        assert rejection == (ErrorCode.MALFORMED_REQUEST, Verdict.NOT_RUN)

    def test_full_table_rejects_new_keys_and_keeps_the_old(self) -> None:
        core = make_core(configuration=make_configuration(key_capacity=1))
        finish(core, arrive(core, make_keyed("a", 1.0), 1.0), 2.0)
        new = arrive(core, make_keyed("b", 3.0, own_id="b"), 3.0)
        assert find_rejection(new) == (ErrorCode.OVERLOADED, Verdict.NOT_RUN)
        assert select(new, Reject)[0].failure.retry_after > 600.0
        assert select(arrive(core, make_keyed("c", 1.0), 4.0), ReplayAnswer)


class TestHomes:
    """Keys whose home is another gateway."""

    def test_live_home_gets_the_request(self) -> None:
        core = make_core()
        core.handle(HomesChanged(live=frozenset({OTHER})), 1.0)
        actions = arrive(core, make_keyed("a", 1.0, home="other"), 1.0)
        assert select(actions, ForwardToHome)[0].home == OTHER

    def test_key_of_a_gone_home_may_have_run(self) -> None:
        actions = arrive(make_core(), make_keyed("a", 1.0, home="other"), 1.0)
        gone = (ErrorCode.KEY_HOME_GONE, Verdict.MAY_HAVE_RUN)
        assert find_rejection(actions) == gone

    def test_successors_are_followed(self) -> None:
        core = make_core()
        successor_id = IncarnationId("heir")
        middle = IncarnationId("middle")
        successors = (
            Successor(home=OTHER, successor=middle),
            Successor(home=middle, successor=successor_id),
        )
        event = HomesChanged(live=frozenset({successor_id}), successors=successors)
        core.handle(event, 1.0)
        actions = arrive(core, make_keyed("a", 1.0, home="other"), 1.0)
        assert select(actions, ForwardToHome)[0].home == successor_id

    def make_record(self, own_id: str, verdict: Verdict | None) -> KeyRecord:
        return KeyRecord(
            key=IdempotencyKey(f"other:900:{own_id}"),
            caller=CallerId("office"),
            fingerprint=0,
            expires_at=1530.0,
            verdict=verdict,
            answer_id=None if verdict else "answer",
        )

    def test_successor_answers_from_records_and_runs_only_fresh_keys(self) -> None:
        core = make_core()
        keys = (
            self.make_record("done", None),
            self.make_record("failed", Verdict.MAY_HAVE_RUN),
        )
        core.handle(PeerKeysReceived(home=OTHER, keys=keys), 1000.0)
        unnamed = make_keyed("unnamed", 1000.0, "x", "other", issued_at=995)
        gone = (ErrorCode.KEY_HOME_GONE, Verdict.MAY_HAVE_RUN)
        assert find_rejection(arrive(core, unnamed, 1000.0)) == gone
        core.handle(make_successor_named("home"), 1000.0)

        def submit(own_id: str, issued_at: int) -> list[DispatchAction]:
            name = f"{own_id}-{issued_at}"
            request = make_keyed(name, 1000.0, own_id, "other", issued_at=issued_at)
            return arrive(core, request, 1001.0)

        assert select(submit("done", 900), ReplayAnswer)[0].answer_id == "answer"
        assert find_rejection(submit("failed", 900))[1] is Verdict.MAY_HAVE_RUN
        assert select(submit("new", 990), StartAttempt)
        # The home may have dropped the record of an older key, since its retention may
        # have been shorter than that of this process.
        assert find_rejection(submit("old", 930)) == gone

    def test_records_that_do_not_fit_make_the_home_gone(self) -> None:
        core = make_core(configuration=make_configuration(key_capacity=1))
        keys = tuple(self.make_record(name, None) for name in "abc")
        core.handle(PeerKeysReceived(home=OTHER, keys=keys), 1000.0)
        core.handle(make_successor_named("home"), 1000.0)
        request = make_keyed("c", 1000.0, "c", "other", issued_at=990)
        rejection = find_rejection(arrive(core, request, 1001.0))
        assert rejection == (ErrorCode.KEY_HOME_GONE, Verdict.MAY_HAVE_RUN)

    def test_no_new_key_runs_after_the_hand_over(self) -> None:
        core = make_core()
        arrive(core, make_keyed("a", 1.0), 1.0)
        (record,) = core.export_keys()
        assert record.verdict is Verdict.MAY_HAVE_RUN
        actions = arrive(core, make_keyed("b", 2.0, own_id="b"), 2.0)
        # The successor may have run it, so the verdict must not be "not run".
        gone = (ErrorCode.KEY_HOME_GONE, Verdict.MAY_HAVE_RUN)
        assert find_rejection(actions) == gone


class TestPlainKey:
    """Plain keys, which are claimed in the key-value service."""

    @pytest.mark.parametrize(
        ("outcome", "code", "verdict"),
        [
            (
                ClaimOutcome.TAKEN,
                ErrorCode.KEY_ALREADY_CLAIMED,
                Verdict.MAY_HAVE_RUN,
            ),
            (
                ClaimOutcome.UNSETTLED,
                ErrorCode.KEY_CLAIM_UNAVAILABLE,
                Verdict.MAY_HAVE_RUN,
            ),
            (
                ClaimOutcome.UNAVAILABLE,
                ErrorCode.KEY_CLAIM_UNAVAILABLE,
                Verdict.NOT_RUN,
            ),
        ],
    )
    def test_failed_claim_is_rejected(
        self, outcome: str, code: ErrorCode, verdict: Verdict
    ) -> None:
        core = make_core()
        assert select(arrive(core, make_plain("a", 1.0), 1.0), ClaimKey)
        actions = core.handle(KeyClaimed(request_id="a", outcome=outcome), 2.0)
        assert find_rejection(actions) == (code, verdict)
        assert not len(core.keys)

    def test_late_claim_starts_nothing_but_is_kept(self) -> None:
        core = make_core()
        arrive(core, make_plain("a", 1.0), 1.0)
        claimed = KeyClaimed(request_id="a", outcome=ClaimOutcome.CLAIMED)
        late = core.handle(claimed, 20.0)
        assert find_rejection(late)[1] is Verdict.NOT_RUN
        again = arrive(core, make_plain("b", 21.0), 21.0)
        assert select(again, StartAttempt)
        assert not select(again, ClaimKey)

    def test_claims_are_rate_limited(self) -> None:
        site = make_configuration(claim_writes_per_second=1.0)
        core = make_core(configuration=site)
        assert select(arrive(core, make_plain("a", 1.0), 1.0), ClaimKey)
        key = IdempotencyKey("other")
        request = make_request("b", 1.0, target=CALL, idempotent=False, key=key)
        rejection = find_rejection(arrive(core, request, 1.1))
        assert rejection == (ErrorCode.KEY_CLAIM_UNAVAILABLE, Verdict.NOT_RUN)

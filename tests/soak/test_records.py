"""Tests that each broken promise is noticed."""

import time

from .records import RETRY_WINDOW_S, Call, Kind, Records, Run


def make_call(records: Records, kind: Kind = Kind.ONCE, **fields: object) -> Call:
    call = Call(request_id="q", kind=kind, edge="e", sent_at=time.monotonic())
    for name, value in fields.items():
        setattr(call, name, value)
    call.ended_at = time.monotonic()
    records.calls["q"] = call
    return call


def add_run(records: Records, signature: str = "s") -> None:
    run = Run(runner_id="i-1", at=time.monotonic(), signature=signature)
    records.note_run("q", run)


class TestCalls:
    """What a caller got, against what ran."""

    def test_request_that_is_served_breaks_nothing(self) -> None:
        records = Records()
        make_call(records, status=200, whole=True, signature="s")
        add_run(records)
        assert records.check() == []

    def test_second_run(self) -> None:
        records = Records()
        make_call(records, status=502)
        add_run(records)
        add_run(records, "t")
        assert records.check() == ["twice: non_idempotent q ran 2 times"]

    def test_second_run_of_what_may_be_repeated_breaks_nothing(self) -> None:
        records = Records()
        make_call(records, Kind.SAFE, status=200, whole=True, signature="t")
        add_run(records)
        add_run(records, "t")
        assert records.check() == []

    def test_refusal_that_is_not_true(self) -> None:
        records = Records()
        make_call(records, status=503)
        add_run(records)
        assert records.check() == ["refused: non_idempotent q was told 503 and ran"]

    def test_answer_of_another_request(self) -> None:
        records = Records()
        make_call(records, Kind.STREAM, status=200, whole=True, signature="other")
        add_run(records)
        assert records.check() == ["mixed: stream q got the answer other"]

    def test_connection_that_closes_without_an_answer(self) -> None:
        records = Records()
        make_call(records, broken=True)
        assert records.check() == [
            "lost: non_idempotent q at e ended without an answer"
        ]

    def test_the_same_amid_a_fault_breaks_nothing(self) -> None:
        records = Records()
        records.begin("kill")
        make_call(records, broken=True)
        assert records.check() == []

    def test_planned_work_is_no_excuse(self) -> None:
        records = Records()
        records.begin("stop", planned=True)
        make_call(records, broken=True)
        assert len(records.check()) == 1

    def test_run_that_nobody_asked_for(self) -> None:
        records = Records()
        add_run(records)
        assert records.check() == ["unasked: q ran and nobody sent it"]


class TestRepeats:
    """Arrivals beyond the first of each request."""

    def note(self, records: Records, requests: int, arrivals: int) -> None:
        """Note requests that reach runners so often, two arrivals a request."""
        for number in range(requests):
            records.calls[f"q{number}"] = Call(
                request_id=f"q{number}",
                kind=Kind.SAFE,
                edge="e",
                sent_at=time.monotonic(),
            )
        for number in range(arrivals):
            records.note_arrival("plain", "i-1", f"q{number // 2}")

    def test_as_many_as_allowed(self) -> None:
        records = Records()
        self.note(records, requests=20, arrivals=32)
        assert records.check_repeats("plain") == []

    def test_one_too_many(self) -> None:
        records = Records()
        self.note(records, requests=20, arrivals=34)
        assert records.check_repeats("plain") == [
            "budget: plain got 17 repeats for 20 requests; 16 allowed"
        ]

    def test_requests_of_the_window_before_count(self) -> None:
        records = Records()
        self.note(records, requests=20, arrivals=32)
        for call in records.calls.values():
            call.sent_at -= RETRY_WINDOW_S - 0.5
        assert records.check_repeats("plain") == []


class TestDrains:
    """Runners that have announced their leaving."""

    def test_request_that_comes_late(self) -> None:
        records = Records()
        make_call(records)
        records.leaving["i-1"] = time.monotonic() - 5.0
        add_run(records)
        assert records.check() == ["drain: q reached i-1 5.0 s late"]


class TestVersions:
    """Versions of the configuration."""

    def test_version_that_is_late(self) -> None:
        records = Records()
        records.accepted[2] = time.monotonic() - 5.0
        make_call(records, Kind.SAFE, version=2, status=404)
        assert records.check() == ["config: e lacks version 2"]

    def test_version_that_is_forgotten(self) -> None:
        records = Records()
        records.accepted[2] = records.accepted[3] = time.monotonic()
        records.calls["p"] = Call(
            request_id="p", kind=Kind.SAFE, edge="e", sent_at=0.0, version=3, status=200
        )
        make_call(records, Kind.SAFE, version=2, status=404)
        assert "config: e forgot version 2" in records.check()

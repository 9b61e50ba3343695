"""Tests that each violated guarantee is reported."""

import time

from .records import RETRY_WINDOW_S, Call, Kind, Records, Run, make_record_id


def make_call(records: Records, kind: Kind = Kind.ONCE, **fields: object) -> Call:
    call = Call(request_id="q", kind=kind, edge="e", sent_at=time.monotonic())
    for name, value in fields.items():
        setattr(call, name, value)
    call.ended_at = time.monotonic()
    records.calls["q"] = call
    return call


def add_run(records: Records, signature: str = "s") -> None:
    run = Run(runner_id="i-1", at=time.monotonic(), signature=signature)
    records.record_run("q", run)


class TestCalls:
    """Responses to callers compared with runs at runners."""

    def test_served_request_is_no_violation(self) -> None:
        records = Records()
        make_call(records, status=200, whole=True, signature="s")
        add_run(records)
        assert records.check() == []

    def test_second_run_of_a_non_idempotent_request(self) -> None:
        records = Records()
        make_call(records, status=502)
        add_run(records)
        add_run(records, "t")
        assert records.check() == ["twice: non_idempotent q ran 2 times"]

    def test_second_run_of_an_idempotent_request_is_no_violation(self) -> None:
        records = Records()
        make_call(records, Kind.SAFE, status=200, whole=True, signature="t")
        add_run(records)
        add_run(records, "t")
        assert records.check() == []

    def test_rejected_request_that_ran(self) -> None:
        records = Records()
        make_call(records, status=503)
        add_run(records)
        assert records.check() == [
            "rejected: non_idempotent q ran though status 503 was returned"
        ]

    def test_request_that_runs_in_two_tries_under_one_id(self) -> None:
        records = Records()
        for tries in (0, 1):
            record_id = make_record_id("q", tries)
            records.calls[record_id] = Call(
                request_id=record_id,
                kind=Kind.ONCE,
                edge="e",
                sent_at=time.monotonic(),
                sent_id="q",
                tries=tries,
            )
            run = Run(runner_id="i-1", at=time.monotonic(), signature="s")
            records.record_run(record_id, run)
        assert records.check() == ["twice: q ran in 2 tries"]
        assert records.count_kept_ids() == 1

    def test_response_of_another_request(self) -> None:
        records = Records()
        make_call(records, Kind.STREAM, status=200, whole=True, signature="other")
        add_run(records)
        assert records.check() == ["mixed: stream q got the response other"]

    def test_connection_that_closes_without_a_response(self) -> None:
        records = Records()
        make_call(records, was_disconnected=True)
        assert records.check() == [
            "lost: non_idempotent q at e got no complete response"
        ]

    def test_connection_that_closes_during_a_fault_is_no_violation(self) -> None:
        records = Records()
        records.begin("kill")
        make_call(records, was_disconnected=True)
        assert records.check() == []

    def test_connection_that_closes_during_planned_work(self) -> None:
        records = Records()
        records.begin("stop", planned=True)
        make_call(records, was_disconnected=True)
        assert len(records.check()) == 1

    def test_run_of_a_request_that_was_not_sent(self) -> None:
        records = Records()
        add_run(records)
        assert records.check() == ["unasked: q ran but no caller sent it"]


class TestRetries:
    """Arrivals after the first one of each request."""

    def record(self, records: Records, requests: int, arrivals: int) -> None:
        """Record requests and their arrivals at a runner, two for each request."""
        for number in range(requests):
            records.calls[f"q{number}"] = Call(
                request_id=f"q{number}",
                kind=Kind.SAFE,
                edge="e",
                sent_at=time.monotonic(),
            )
        for number in range(arrivals):
            records.record_arrival("plain", "i-1", f"q{number // 2}", "")

    def test_retries_at_the_limit(self) -> None:
        records = Records()
        self.record(records, requests=20, arrivals=32)
        assert records.check_retries("plain") == []

    def test_one_retry_over_the_limit(self) -> None:
        records = Records()
        self.record(records, requests=20, arrivals=34)
        assert records.check_retries("plain") == [
            "budget: plain got 17 retries for 20 requests; 16 allowed"
        ]

    def test_requests_of_the_previous_window_count(self) -> None:
        records = Records()
        self.record(records, requests=20, arrivals=32)
        for call in records.calls.values():
            call.sent_at -= RETRY_WINDOW_S - 0.5
        assert records.check_retries("plain") == []


class TestDrains:
    """Requests to runners that announced that they leave."""

    def test_request_after_the_drain_time(self) -> None:
        records = Records()
        make_call(records)
        records.leaving["i-1"] = time.monotonic() - 5.0
        add_run(records)
        assert records.check() == [
            "drain: q reached i-1 5.0 s after it had announced its leaving"
        ]


class TestVersions:
    """Time and order in which edges apply versions of the configuration."""

    def test_version_that_is_applied_late(self) -> None:
        records = Records()
        records.accepted[2] = time.monotonic() - 5.0
        make_call(records, Kind.SAFE, version=2, status=404)
        assert records.check() == ["config: e lacks version 2"]

    def test_version_that_is_reverted(self) -> None:
        records = Records()
        records.accepted[2] = records.accepted[3] = time.monotonic()
        records.calls["p"] = Call(
            request_id="p", kind=Kind.SAFE, edge="e", sent_at=0.0, version=3, status=200
        )
        make_call(records, Kind.SAFE, version=2, status=404)
        assert "config: e no longer has version 2" in records.check()

"""Tests of the numbered events."""

import ast
import io
import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from mangoway.models.identifiers import ConfigVersion, RequestId
from mangoway.observability import event_log, events, fleet_events
from mangoway.observability.catalogue import render_catalogue
from mangoway.observability.event_log import (
    LINES_BURST,
    LINES_PER_SECOND,
    LineBudget,
    LogLevel,
    list_specs,
    log_event,
    numbered,
    start_log,
)

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "EVENTS.md"


def list_calls(folder: Path) -> set[str]:
    """Return the unqualified names of everything that the code in a folder calls."""
    calls = (
        node.func
        for file in folder.rglob("*.py")
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Call)
    )
    return {ast.unparse(call).rpartition(".")[2] for call in calls}


@pytest.fixture
def log() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    stop = start_log(LogLevel.INFO, host="g1", role="gateway", stream=stream)
    # Remove messages that the library buffered before the log was started.
    stream.truncate(0)
    stream.seek(0)
    yield stream
    stop()


class TestCatalogue:
    """Tests of the page and the registry of events."""

    def test_page_matches_the_code(self) -> None:
        assert PAGE.read_text() == render_catalogue()

    def test_every_event_has_a_meaning(self) -> None:
        assert all(spec.meaning.endswith(".") for spec in list_specs())

    def test_every_event_is_logged_somewhere(self) -> None:
        used = list_calls(ROOT / "mangoway")
        assert [spec.name for spec in list_specs() if spec.name not in used] == []

    def test_number_is_unique(self) -> None:
        with pytest.raises(ValueError, match="100 is already in use"):
            numbered(100, LogLevel.INFO)(type("Other", (), {}))


class TestLogEvent:
    """Tests of the lines that events write to the log."""

    def test_line_carries_number_fields_and_process(self, log: io.StringIO) -> None:
        log_event(events.ProcessReady(config_version=ConfigVersion(7)))
        line = json.loads(log.getvalue())
        assert (line["event"], line["config_version"]) == (101, 7)
        assert (line["host"], line["role"], line["level"]) == ("g1", "gateway", "INFO")

    def test_event_below_the_level_is_not_written(self, log: io.StringIO) -> None:
        log_event(
            events.RequestFinished(
                request_id=RequestId("r1"),
                caller="desk",
                target="chat@1",
                work_class="urgent",
                seconds=0.1,
                attempts=1,
            )
        )
        assert log.getvalue() == ""


class TestLineBudget:
    """Tests of the limit on a flood of one kind of event."""

    def test_flood_is_limited_and_counted(self) -> None:
        budget = LineBudget()
        written = sum(budget.try_acquire(0.0) for _ in range(1000))
        assert written == LINES_BURST
        assert budget.pop_suppressed() == 1000 - LINES_BURST
        assert budget.pop_suppressed() == 0

    def test_budget_refills_with_time(self) -> None:
        budget = LineBudget()
        for _ in range(1000):
            budget.try_acquire(0.0)
        assert sum(budget.try_acquire(2.0) for _ in range(1000)) == 2 * LINES_PER_SECOND

    def test_line_after_a_flood_has_the_suppressed_count(
        self, log: io.StringIO
    ) -> None:
        event = events.BudgetExhausted(rank="claim")
        for _ in range(int(LINES_BURST) + 100):
            log_event(event)
        written = log.getvalue().count("\n")
        assert written < LINES_BURST + 100
        event_log._budgets[events.BudgetExhausted, ""].remaining = 1
        log_event(event)
        last = json.loads(log.getvalue().splitlines()[-1])
        assert last["suppressed"] == LINES_BURST + 100 - written

    def test_flood_of_one_kind_suppresses_no_line_of_another(
        self, log: io.StringIO
    ) -> None:
        for _ in range(int(LINES_BURST) + 100):
            log_event(make_not_run("safe"))
        log_event(make_not_run("non_idempotent"))
        last = json.loads(log.getvalue().splitlines()[-1])
        assert last["kind"] == "non_idempotent"
        assert "suppressed" not in last


def make_not_run(kind: str) -> fleet_events.AttemptNotRun:
    """Return the event of an attempt that has not run, for a kind of route."""
    return fleet_events.AttemptNotRun(
        request_id="q1",
        kind=kind,
        upstream_id="r1",
        status=503,
        states_not_run=True,
        names_request=True,
        local_port=1,
        earlier_requests=0,
        skipped=0,
        reason="",
    )

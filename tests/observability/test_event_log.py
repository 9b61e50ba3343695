"""Tests of the numbered events."""

import io
import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from mangoway.models.identifiers import ConfigVersion, RequestId
from mangoway.observability import events
from mangoway.observability.catalogue import render_catalogue
from mangoway.observability.event_log import (
    LogLevel,
    list_specs,
    log_event,
    numbered,
    start_log,
)

PAGE = Path(__file__).parents[2] / "docs" / "EVENTS.md"


@pytest.fixture
def log() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    stop = start_log(LogLevel.INFO, host="g1", role="gateway", stream=stream)
    # What was logged before any log was started comes first.
    stream.truncate(0)
    stream.seek(0)
    yield stream
    stop()


class TestCatalogue:
    """The page and the registry."""

    def test_page_is_what_the_code_says(self) -> None:
        assert PAGE.read_text() == render_catalogue()

    def test_every_event_says_its_meaning(self) -> None:
        assert all(spec.meaning.endswith(".") for spec in list_specs())

    def test_number_is_given_once(self) -> None:
        with pytest.raises(ValueError, match="100 is taken"):
            numbered(100, LogLevel.INFO)(type("Other", (), {}))


class TestLogEvent:
    """Lines on the log."""

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

"""Tests of log records of libraries as events."""

import io
import json
import logging
from asyncio import CancelledError

from mangoway.observability.event_log import LogLevel, start_log
from mangoway.observability.library_log import EventHandler


class TestEventHandler:
    """Tests of the event that is written for a record."""

    def test_record_becomes_one_line_unless_it_is_a_cancellation(self) -> None:
        stream = io.StringIO()
        stop = start_log(LogLevel.INFO, host="h", role="gateway", stream=stream)
        logger = logging.Logger("some.library")
        logger.addHandler(EventHandler())
        try:
            logger.error("it failed\n", exc_info=ValueError("why"))
            logger.error("cut off", exc_info=CancelledError())
        finally:
            stop()
        (line,) = stream.getvalue().splitlines()
        event = json.loads(line)
        assert (event["event"], event["library"]) == (107, "some.library")
        assert event["text"] == "it failed: ValueError('why')"

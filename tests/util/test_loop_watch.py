"""Tests of the watch of the event loop."""

import io
import json

import pytest

from mangoway.observability.event_log import LogLevel, start_log
from mangoway.observability.metrics import Metrics
from mangoway.util.loop_watch import LOG_FROM_S, PERIOD_S, async_watch_loop

LAG_EVENT = 106


class TestWatchLoop:
    """A process that was paused."""

    async def test_pause_is_logged(self) -> None:
        stream = io.StringIO()
        stop = start_log(LogLevel.INFO, host="h", role="gateway", stream=stream)
        # In time, then late by just the limit; the third reading ends the watch.
        times = iter([0.0, PERIOD_S, 10.0, 10.0 + PERIOD_S + LOG_FROM_S])
        watch = async_watch_loop(Metrics(), lambda: next(times))
        with pytest.raises(RuntimeError, match="StopIteration"):
            await watch
        stop()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        lags = [line for line in lines if line["event"] == LAG_EVENT]
        assert [lag["seconds"] for lag in lags] == [LOG_FROM_S]

"""Tests of measuring event loop lag."""

import io
import json

import pytest

from mangoway.observability.event_log import LogLevel, start_log
from mangoway.observability.metrics import Metrics
from mangoway.util.loop_watch import CHECK_PERIOD_S, MIN_LOGGED_LAG_S, async_watch_loop

LAG_EVENT = 106


class TestWatchLoop:
    """Lag after a pause of the process."""

    async def test_pause_is_logged(self) -> None:
        stream = io.StringIO()
        stop = start_log(LogLevel.INFO, host="h", role="gateway", stream=stream)
        # On time, then late by exactly the smallest logged lag; the third iteration
        # ends the watch.
        times = iter(
            [0.0, CHECK_PERIOD_S, 10.0, 10.0 + CHECK_PERIOD_S + MIN_LOGGED_LAG_S]
        )
        watch = async_watch_loop(Metrics(), lambda: next(times))
        with pytest.raises(RuntimeError, match="StopIteration"):
            await watch
        stop()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        lags = [line for line in lines if line["event"] == LAG_EVENT]
        assert [lag["seconds"] for lag in lags] == [MIN_LOGGED_LAG_S]
